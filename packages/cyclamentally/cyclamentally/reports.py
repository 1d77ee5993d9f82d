"""Reports on installed versions, and the status of failure domains."""

from cyclamentally.effects import Send
from cyclamentally.messages import Report, StatusReply, StatusRequest
from cyclamentally.model import DomainStatus
from cyclamentally.records import Record

REPORT_DELAY_S = 0.1
REPORT_JITTER_S = 0.2
REPORT_PERIOD_S = 30.0
COLLECT_TIMEOUT_S = 0.8
MAX_LISTED = 10
MS_PER_S = 1_000


class Reporter:
    """Report the versions of this node to the relays of its failure domain.

    Parameters
    ----------
    versions : VersionTable
        Versions of this node.
    topology : Topology
        Roles.
    summarize : callable
        Returns the `Summary` of this node.
    random : random.Random
        Source of random numbers.
    now : float
        Time in seconds.
    """

    __slots__ = (
        "due",
        "random",
        "reported_hash",
        "reported_to",
        "summarize",
        "topology",
        "versions",
    )

    def __init__(self, versions, topology, summarize, random, now):
        self.versions = versions
        self.topology = topology
        self.summarize = summarize
        self.random = random
        self.reported_hash = None
        self.reported_to = []
        self.due = now

    def tick(self, now):
        """Send a report if one is due."""
        relays = self._relays()
        if self._needs_report(relays):
            self.reported_hash = self.versions.hash
            self.reported_to = relays
            jitter = self.random.uniform(0, REPORT_JITTER_S)
            self.due = min(self.due, now + REPORT_DELAY_S + jitter)
        if now < self.due:
            return []
        self.due = now + REPORT_PERIOD_S
        own = self.topology.table.own_record
        report = Report(self.summarize(), own.domain, self.versions.refused())
        effects = []
        for node in relays:
            if node != own.node:
                record = self.topology.table.get(node)
                effects.append(Send(record.address, record.region, report))
        return effects

    def _relays(self):
        return self.topology.relays(self.topology.table.own_record.domain)

    def _needs_report(self, relays):
        return self.versions.hash != self.reported_hash or relays != self.reported_to


class MemberReport(Record):
    """Hash of the versions of a member, and the versions that it refuses."""

    __slots__ = ("versions", "refused")

    def __init__(self, versions, refused):
        self.versions = versions
        self.refused = refused


class StatusCollector:
    """Keep the reports of this node's domain; collect the status of all domains.

    Parameters
    ----------
    versions : VersionTable
        Versions of this node.
    topology : Topology
        Roles.
    summarize : callable
        Returns the `Summary` of this node.
    relay : Relay
        Source of the staleness.
    """

    __slots__ = (
        "deadline",
        "member_reports",
        "relay",
        "replies",
        "summarize",
        "topology",
        "versions",
    )

    def __init__(self, versions, topology, summarize, relay):
        self.versions = versions
        self.topology = topology
        self.summarize = summarize
        self.relay = relay
        self.member_reports = {}
        self.replies = {}
        self.deadline = None

    def on_report(self, report):
        """Store the report of a member."""
        sender = report.sender
        self.member_reports[sender.node] = MemberReport(
            sender.versions_hash, report.refused
        )

    def on_request(self, request, now):
        """Answer with the status of this node's domain."""
        reply = StatusReply(self.summarize(), self.own_status(now))
        return [Send(request.sender.address, request.sender.region, reply)]

    def on_reply(self, reply):
        """Store the status of a domain.

        If several relays answer, the one that counts more current nodes wins.
        """
        status = reply.status
        known = self.replies.get(status.domain)
        if known is None or known.current <= status.current:
            self.replies[status.domain] = status

    def collect(self, now):
        """Request the status of every domain from its relays."""
        self.replies.clear()
        self.deadline = now + COLLECT_TIMEOUT_S
        own = self.topology.table.own_record
        effects = []
        for domain in self.topology.table.domains():
            for node in self.topology.relays(domain):
                if node == own.node:
                    self.replies[domain] = self.own_status(now)
                    continue
                record = self.topology.table.get(node)
                request = StatusRequest(self.summarize())
                effects.append(Send(record.address, record.region, request))
        return effects

    def is_complete(self, now):
        """Whether every domain has answered or the deadline has passed."""
        if self.deadline is None or now >= self.deadline:
            return True
        return self.replies.keys() >= self.topology.table.domains().keys()

    def statuses(self):
        """Return the status of each domain, with no current nodes if unanswered."""
        statuses = []
        for domain, region in self.topology.table.domains().items():
            live = len(self.topology.table.live(domain))
            unanswered = DomainStatus(domain, region, live, 0, [], [], [], [], 0)
            statuses.append(self.replies.get(domain, unanswered))
        return statuses

    def own_status(self, now):
        """Return the status of this node's domain."""
        own = self.topology.table.own_record
        nodes = [record.node for record in self.topology.table.live(own.domain)]
        self._drop_departed(nodes)
        refused = self.versions.refused()
        behind = []
        for node in nodes:
            report = self.member_reports.get(node)
            if node == own.node:
                continue
            if report is None or report.versions != self.versions.hash:
                behind.append(node)
            else:
                refused.extend(report.refused)
        tracked = self.versions.tracked
        installed = {n: s.installed.version for n, s in tracked.items() if s.installed}
        return DomainStatus(
            own.domain,
            own.region,
            len(nodes),
            len(nodes) - len(behind),
            sorted(behind)[:MAX_LISTED],
            refused[:MAX_LISTED],
            list(installed),
            list(installed.values()),
            int(self.relay.staleness(now) * MS_PER_S),
        )

    def _drop_departed(self, nodes):
        for node in self.member_reports.keys() - set(nodes):
            del self.member_reports[node]
