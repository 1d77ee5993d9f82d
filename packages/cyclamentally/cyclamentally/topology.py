"""Relay roles, links between relays and the push tree of a failure domain."""

from cyclamentally.effects import Send
from cyclamentally.hashing import rank_by_rendezvous

RELAYS_PER_DOMAIN = 2
TREE_FANOUT = 8


class Topology:
    """Compute roles from the live members, without a lock or a lease.

    Nodes with different member tables may hold the same role for a while.
    This costs traffic but not correctness, because versions only grow.

    Parameters
    ----------
    table : MemberTable
        Members.
    platform_region : str
        Region of the platform.
    """

    __slots__ = ("cache", "generation", "platform_region", "table")

    def __init__(self, table, platform_region):
        self.table = table
        self.platform_region = platform_region
        self.cache = {}
        self.generation = -1

    def relays(self, domain):
        """Return the relays of a failure domain, the highest ranked first."""
        return self._cached(("relays", domain), self._find_relays)

    def leader(self, region):
        """Return the relay that receives versions for a region, or None."""
        return self._cached(("lead", region), self._find_leader)

    def source(self):
        """Return the node that watches the platform for all nodes, or None."""
        platform_leader = self.leader(self.platform_region)
        if platform_leader is not None:
            return platform_leader
        regions = sorted(set(self.table.domains().values()))
        leaders = [leader for region in regions if (leader := self.leader(region))]
        return leaders[0] if leaders else None

    def followed_node(self):
        """Return the node from which this node receives versions, or None.

        None for the source and for nodes that are not relays.
        """
        own = self.table.own_record
        if own.node not in self.relays(own.domain) or own.node == self.source():
            return None
        leader = self.leader(own.region)
        return self.source() if leader == own.node else leader

    def followers(self):
        """Return the nodes that receive versions from this node."""
        own = self.table.own_record
        nodes = []
        if self.leader(own.region) == own.node:
            nodes.extend(self._region_relays(own.region))
        if self.source() == own.node:
            nodes.extend(self._other_leaders(own.region))
        return [node for node in dict.fromkeys(nodes) if node != own.node]

    def is_relay(self):
        """Return whether this node is a relay of its failure domain."""
        own = self.table.own_record
        return own.node in self.relays(own.domain)

    def children(self, root):
        """Return the children of this node in the push tree of a root."""
        own = self.table.own_record
        order = self._cached(("tree", root), self._order_tree)
        try:
            position = order.index(own.node)
        except ValueError:
            return []
        first = position * TREE_FANOUT + 1
        return order[first : first + TREE_FANOUT]

    def send_along_tree(self, root, message):
        """Return the effects that send a message to the children in a push tree."""
        return self._send_to(self.children(root), message)

    def send_along_links(self, message, sender):
        """Return the effects that send a message over the links between relays.

        Parameters
        ----------
        message : object
            Message to send.
        sender : str
            Node that it came from, which is left out; empty if it originates here.
        """
        if not self.is_relay():
            return []
        links = [self.followed_node(), *self.followers()]
        return self._send_to([n for n in links if n and n != sender], message)

    def _send_to(self, nodes, message):
        records = [self.table.get(node) for node in nodes]
        return [Send(r.address, r.region, message) for r in records]

    def _cached(self, key, find):
        if self.generation != self.table.generation:
            self.cache.clear()
            self.generation = self.table.generation
        if key not in self.cache:
            self.cache[key] = find(key[1])
        return self.cache[key]

    def _find_relays(self, domain):
        nodes = [record.node for record in self.table.live(domain)]
        return rank_by_rendezvous("relay", nodes)[:RELAYS_PER_DOMAIN]

    def _region_relays(self, region):
        domains = self.table.domains()
        return [
            node
            for domain in sorted(domains)
            if domains[domain] == region
            for node in self.relays(domain)
        ]

    def _find_leader(self, region):
        ranked = rank_by_rendezvous("lead", self._region_relays(region))
        return ranked[0] if ranked else None

    def _other_leaders(self, region):
        regions = sorted(set(self.table.domains().values()) - {region})
        return [leader for other in regions if (leader := self.leader(other))]

    def _order_tree(self, root):
        own = self.table.own_record
        nodes = [record.node for record in self.table.live(own.domain)]
        ranked = rank_by_rendezvous(root, nodes)
        return [root, *(node for node in ranked if node != root)]
