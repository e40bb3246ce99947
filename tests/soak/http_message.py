"""HTTP/1.1 messages on asyncio streams, as far as the soak's stand-ins and callers need them."""

import asyncio

HEAD_BYTES = 65536
PIECE_BYTES = 32768


class Message:
    """A request or an answer: start line, header fields by lower-case name, body."""

    def __init__(self, start, fields, body=b""):
        self.start = start
        self.fields = fields
        self.body = body

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """A message without its body; None if the connection ended before it began."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0], fields)


async def read_request(reader):
    """A whole request; None if the caller has closed the connection."""
    message = await read_head(reader)
    if message is not None:
        length = int(message.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    return message


async def read_slowly(reader, length, rate):
    """So many bytes, no faster than a number of bytes a second."""
    while length > 0:
        data = await reader.read(min(length, PIECE_BYTES))
        if not data:
            raise asyncio.IncompleteReadError(b"", length)
        length -= len(data)
        yield data
        await asyncio.sleep(len(data) / rate)


async def read_pieces(reader, message, rate=None):
    """The body of an answer, piece by piece; raises IncompleteReadError if it is cut."""
    if message.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line, 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return
            yield data[:size]
            if rate is not None:
                await asyncio.sleep(size / rate)
    elif rate is not None and message.get("content-length") is not None:
        async for piece in read_slowly(reader, int(message.get("content-length")), rate):
            yield piece
    elif message.get("content-length") is not None:
        yield await reader.readexactly(int(message.get("content-length")))
    else:
        yield await reader.read()


def render(start, fields, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in fields]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def render_answer(status, fields, body=b""):
    return render(f"HTTP/1.1 {status} X", fields + [("Content-Length", len(body))], body)


def render_chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"
