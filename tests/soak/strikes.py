"""Which gateways and back ends unplanned faults struck, and when."""

import time

GATEWAYS = "gateways"  # All of them, or their links.


class Strikes:
    """Spans of time, each with the name of a node or of a back end's instance."""

    def __init__(self):
        self.spans = []

    def begin(self, names):
        """Returns what end() takes."""
        spans = [[name, time.monotonic(), None] for name in names]
        self.spans += spans
        return spans

    @staticmethod
    def end(spans):
        for span in spans:
            span[2] = time.monotonic()

    def note(self, name):
        """A strike that is over at once."""
        self.end(self.begin([name]))

    def struck(self, names, since, until):
        """True if one of them was struck between the two times."""
        return any(
            name in names and begun_at <= until and (ended_at is None or ended_at >= since)
            for name, begun_at, ended_at in self.spans
        )
