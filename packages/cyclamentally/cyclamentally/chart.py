"""Load, validate and interpret state charts.

A chart file is TOML::

    initial = "idle"
    final = ["closed"]
    events = ["open", "close"]

    [states.idle]
    ignore = ["close"]
    on.open = [{ guard = "is_allowed", to = "ready", actions = ["greet"] },
               { to = "idle" }]

Every state handles every event: by a transition or by ``ignore``.
"""

from importlib.resources import files
from tomllib import TOMLDecodeError, loads

CHARTS = "cyclamentally.charts"
CHART_KEYS = {"initial", "final", "events", "states"}
STATE_KEYS = {"on", "ignore"}
BRANCH_KEYS = {"guard", "to", "actions"}


class ChartError(Exception):
    """An invalid chart file; the text names the file and the key."""


class Branch:
    """One alternative of a transition.

    Parameters
    ----------
    guard : callable or None
        Takes the owner and the message; the branch is taken if it is true.
    target : str
        State that is entered.
    actions : tuple of callable
        Each takes the owner and the message and returns effects or None.
    """

    __slots__ = ("actions", "guard", "target")

    def __init__(self, guard, target, actions):
        self.guard = guard
        self.target = target
        self.actions = actions


class Chart:
    """A compiled chart, shared by all objects that run it.

    Parameters
    ----------
    name : str
        File name, for error messages.
    initial : str
        State of a new object.
    final : frozenset of str
        States without an outgoing transition.
    events : tuple of str
        Events that every state handles.
    table : dict
        Maps a state and an event to a tuple of branches.
    """

    __slots__ = ("events", "final", "initial", "name", "table")

    def __init__(self, name, initial, final, events, table):
        self.name = name
        self.initial = initial
        self.final = final
        self.events = events
        self.table = table

    def fire(self, owner, event, message=None):
        """Run one event on an object and return the effects of its actions.

        Parameters
        ----------
        owner : object
            Has the attribute ``state`` and the chart's guards and actions.
        event : str
            One of the events of the chart.
        message : object, optional
            Passed to the guards and actions.

        Returns
        -------
        list
            Effects in the order of the actions.
        """
        for branch in self.table[owner.state, event]:
            if branch.guard is None or branch.guard(owner, message):
                return self._enter(owner, branch, message)
        return []

    def _enter(self, owner, branch, message):
        owner.state = branch.target
        effects = []
        for action in branch.actions:
            effects.extend(action(owner, message) or ())
        return effects


class ChartLoader:
    """Validate a chart document against the class that runs it.

    Parameters
    ----------
    name : str
        File name, for error messages.
    document : dict
        Parsed content of the file.
    owner : type
        Class whose methods are the guards and actions.
    """

    __slots__ = ("document", "name", "owner")

    def __init__(self, name, document, owner):
        self.name = name
        self.document = document
        self.owner = owner

    def load(self):
        """Return the compiled chart.

        Raises
        ------
        ChartError
            The document breaks a rule of the format.
        """
        self._check_keys("chart", self.document, CHART_KEYS)
        for key in sorted(CHART_KEYS - self.document.keys()):
            self._fail(key, "missing")
        states = self.document["states"]
        final = frozenset(self.document["final"])
        if self.document["initial"] not in states:
            self._fail("initial", f"unknown state {self.document['initial']!r}")
        table = {}
        for state, body in states.items():
            self._add_state(table, state, body)
        self._check_final(final, table)
        self._check_reachable(table)
        return Chart(
            self.name,
            self.document["initial"],
            final,
            tuple(self.document["events"]),
            table,
        )

    def _fail(self, key, text):
        raise ChartError(f"{self.name}: {key}: {text}")

    def _check_keys(self, key, table, allowed):
        for extra in sorted(table.keys() - allowed):
            self._fail(f"{key}.{extra}", "unknown key")

    def _add_state(self, table, state, body):
        key = f"states.{state}"
        self._check_keys(key, body, STATE_KEYS)
        transitions = body.get("on", {})
        ignored = body.get("ignore", [])
        for event in [*transitions, *ignored]:
            if event not in self.document["events"]:
                self._fail(f"{key}.{event}", "unknown event")
        for event in self.document["events"]:
            if event in transitions and event in ignored:
                self._fail(f"{key}.{event}", "both handled and ignored")
            if event not in transitions and event not in ignored:
                self._fail(f"{key}.{event}", "neither handled nor ignored")
            branches = transitions.get(event, [])
            table[state, event] = self._compile(f"{key}.on.{event}", branches)

    def _compile(self, key, branches):
        compiled = []
        guards = set()
        for branch in branches:
            self._check_keys(key, branch, BRANCH_KEYS)
            guard = branch.get("guard")
            if guard in guards or None in guards:
                self._fail(key, "ambiguous: branch is shadowed by an earlier one")
            guards.add(guard)
            if branch.get("to") not in self.document["states"]:
                self._fail(key, f"unknown state {branch.get('to')!r}")
            compiled.append(
                Branch(
                    self._method(key, guard) if guard else None,
                    branch["to"],
                    tuple(self._method(key, a) for a in branch.get("actions", [])),
                )
            )
        return tuple(compiled)

    def _method(self, key, name):
        method = getattr(self.owner, name, None)
        if not callable(method):
            self._fail(key, f"{self.owner.__name__} has no method {name!r}")
        return method

    def _check_final(self, final, table):
        for state in sorted(final):
            if state not in self.document["states"]:
                self._fail("final", f"unknown state {state!r}")
        for (state, event), branches in table.items():
            if state in final and branches:
                self._fail(
                    f"states.{state}.on.{event}",
                    "final state has an outgoing transition",
                )

    def _check_reachable(self, table):
        reached = {self.document["initial"]}
        pending = [self.document["initial"]]
        while pending:
            state = pending.pop()
            for event in self.document["events"]:
                targets = {branch.target for branch in table[state, event]}
                pending.extend(targets - reached)
                reached |= targets
        for state in self.document["states"]:
            if state not in reached:
                self._fail(f"states.{state}", "unreachable")


def load_chart(name, owner, package=CHARTS):
    """Compile a chart file.

    Parameters
    ----------
    name : str
        File name without its extension.
    owner : type
        Class whose methods are the guards and actions.
    package : str
        Package that contains the file.

    Returns
    -------
    Chart
        The compiled chart.

    Raises
    ------
    ChartError
        The file cannot be read or breaks a rule of the format.
    """
    text = files(package).joinpath(f"{name}.toml").read_text()
    try:
        document = loads(text)
    except TOMLDecodeError as error:
        raise ChartError(f"{name}: {error}") from error
    return ChartLoader(name, document, owner).load()


def runs_chart(name, package=CHARTS):
    """Return a class decorator that sets ``cls.chart`` to a compiled chart."""

    def attach(cls):
        cls.chart = load_chart(name, cls, package)
        return cls

    return attach
