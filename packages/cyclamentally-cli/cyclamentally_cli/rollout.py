"""Waiting until a profile version is in force on all nodes."""

from threading import Event
from time import monotonic

from cyclamentally.errors import Done, Kind, Refused

POLL_S = 0.2


class RolloutWaiter:
    """Polls the status until all nodes run a version.

    Parameters
    ----------
    client : NodeClient
        Source of the status.
    report : callable
        Takes the number of nodes that run the version and of live nodes.
    clock : callable
        Returns the time in seconds.
    pause : callable
        Sleeps for a number of seconds.
    """

    __slots__ = ("client", "clock", "pause", "report")

    def __init__(self, client, report, clock=monotonic, pause=None):
        self.client = client
        self.report = report
        self.clock = clock
        self.pause = pause or Event().wait

    def wait(self, version, timeout):
        """Wait until a profile version is in force.

        Parameters
        ----------
        version : ProfileVersion
            Version to wait for; a newer one counts as well.
        timeout : float
            Longest wait in seconds.

        Returns
        -------
        Done or Refused
            ``Done`` holds the time waited in seconds; ``Refused`` of kind
            ``not_in_force`` names the domains or the error.
        """
        started = self.clock()
        detail = "no status requested"
        while self.clock() - started < timeout:
            status = self.client.status()
            if isinstance(status, Done):
                missing = self._missing_domains(status.value, version)
                if not missing:
                    return Done(self.clock() - started)
                detail = f"not in force in {', '.join(missing)}"
            else:
                detail = status.detail
            self.pause(POLL_S)
        return Refused(Kind.NOT_IN_FORCE, f"{version.name} {version.version}: {detail}")

    def _missing_domains(self, views, version):
        missing = []
        in_force = 0
        for view in views:
            refusing = _is_refused(view, version)
            has_version = view.versions.get(version.name, 0) >= version.version
            if has_version and not refusing:
                in_force += view.current
            if not has_version or refusing or view.current < view.live:
                missing.append(view.domain)
        self.report(in_force, sum(view.live for view in views))
        return missing


def _is_refused(view, version):
    return any(
        entry["name"] == version.name and entry["version"] >= version.version
        for entry in view.refused
    )
