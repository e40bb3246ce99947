"""A zone that is cut off from the others and from the key-value service.

One proxy stands before each server, for all who connect to it, so a cut has to know who opened a
connection: the kernel's table tells the socket at its near end, and /proc the process that holds it.
Callers, and datagrams between gateways, do not pass through these proxies and are not cut.
"""

import os


INODE_FIELD = 8  # Counted from the near address.


def read_connections():
    """The kernel's table as text: other processes may hold thousands, of which few are looked up."""
    with open("/proc/net/tcp", encoding="ascii") as table:
        return table.read()


def find_socket(connections, port, far_port):
    """The inode of the socket at the near end of a connection on loopback; "0" if there is none."""
    row = connections.find(f" 0100007F:{port:04X} 0100007F:{far_port:04X} ")
    return "0" if row < 0 else connections[row : row + 200].split()[INODE_FIELD]


def holds_socket(process, inode):
    folder = f"/proc/{process.pid}/fd"
    try:
        return any(
            os.readlink(os.path.join(folder, name)) == f"socket:[{inode}]"
            for name in os.listdir(folder)
        )
    except OSError:  # The process, or one of its files, has just gone.
        return False


class ZoneCut:
    """One cut of one zone; silent, or else with resets."""

    def __init__(self, zone, silent, nodes):
        self.zone = zone
        self.silent = silent
        self.nodes = nodes

    def _zone_at(self, near_port, listen_port, connections):
        inode = find_socket(connections, near_port, listen_port)
        for node in self.nodes:
            if inode != "0" and node.running() and holds_socket(node.process, inode):
                return node.zone
        return None

    def crosses(self, writer, proxy, connections=None):
        """True if the connection that came to the proxy leads into the zone or out of it."""
        near_zone = proxy.near_zone
        if near_zone is None:
            near_port = (writer.get_extra_info("peername") or ("", 0))[1]
            near_zone = self._zone_at(near_port, proxy.listen_port, connections or read_connections())
        return (near_zone == self.zone) != (proxy.far_zone == self.zone)
