"""Who and where a node is."""


class Place:
    """Who and where a node is.

    Parameters
    ----------
    name, domain, region : str
        Host, failure domain, region.
    address : str
        ``IP:port`` for other nodes.
    """

    __slots__ = ("address", "domain", "name", "region")

    def __init__(self, name, domain, region, address):
        self.name = name
        self.domain = domain
        self.region = region
        self.address = address
