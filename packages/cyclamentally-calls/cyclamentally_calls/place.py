"""Name, location and address of a node."""


class Place:
    """Name, location and address of a node.

    Parameters
    ----------
    name, domain, region : str
        Host, failure domain and region.
    address : str
        ``IP:port`` on which it listens for other nodes.
    """

    __slots__ = ("address", "domain", "name", "region")

    def __init__(self, name, domain, region, address):
        self.name = name
        self.domain = domain
        self.region = region
        self.address = address
