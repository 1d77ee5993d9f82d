"""Load generator: seeded requests at a fixed rate, with latency percentiles."""

from queue import Queue
from random import Random
from threading import Event, Thread
from time import perf_counter, time_ns
from uuid import UUID

from hdrh.histogram import HdrHistogram
from urllib3 import HTTPConnectionPool
from urllib3.exceptions import HTTPError

from cyclamentally.hashing import hash_text
from cyclamentally.records import Record

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
TIMEOUT_S = 30.0
US_PER_S = 1_000_000
NS_PER_MS = 1_000_000


class Operation(Record):
    """One kind of request in the mix.

    Parameters
    ----------
    name : str
        Name in the result.
    method, path : str
        HTTP method and target.
    weight : int
        Share in the mix.
    headers : dict of str to str
        Headers of each request.
    is_keyed : bool
        Whether each request gets an idempotency key.
    """

    __slots__ = ("name", "method", "path", "weight", "headers", "is_keyed")

    def __init__(self, name, method, path, weight=1, headers=None, is_keyed=False):
        self.name = name
        self.method = method
        self.path = path
        self.weight = weight
        self.headers = headers or {}
        self.is_keyed = is_keyed


class Reply(Record):
    """Outcome of one request as its caller saw it.

    Parameters
    ----------
    operation : str
        Name of the operation.
    token : str
        Identifies the request in the records of the upstreams.
    status : int
        HTTP status; 0 if there was no complete answer.
    reason, ran : str
        Kind of the refusal, and whether the request ran.
    is_own : bool
        Whether the answer names the token of this request.
    latency_us : int
        Time from the planned start to the end of the answer, in us.
    """

    __slots__ = (
        "operation",
        "token",
        "status",
        "reason",
        "ran",
        "is_own",
        "latency_us",
    )

    def __init__(self, operation, token, status, reason, ran, is_own, latency_us):
        self.operation = operation
        self.token = token
        self.status = status
        self.reason = reason
        self.ran = ran
        self.is_own = is_own
        self.latency_us = latency_us


class Load:
    """Sends a mix of operations to addresses at a fixed rate.

    Times count from the planned start of a request, so that the delays of a
    stalled server are not hidden (coordinated omission).

    Parameters
    ----------
    addresses : list of str
        ``IP:port`` of the servers, used in turn.
    operations : list of Operation
        The mix.
    rate : float
        Requests per second; 0 sends each as soon as a thread is free.
    threads : int
        Requests in flight at most.
    seed : int
        Seed of the mix.
    home : str
        Failure domain named in idempotency keys.
    """

    __slots__ = (
        "addresses",
        "home",
        "operations",
        "random",
        "rate",
        "replies",
        "seed",
        "threads",
    )

    def __init__(self, addresses, operations, rate, threads=16, seed=1, home=""):
        self.addresses = addresses
        self.operations = operations
        self.rate = rate
        self.threads = threads
        self.seed = seed
        self.random = Random(seed)
        self.home = home
        self.replies = Queue()

    def run(self, count):
        """Send ``count`` requests; return the list of `Reply`."""
        work = Queue(maxsize=0 if self.rate else self.threads)
        workers = [
            Thread(target=self._work, args=[work], daemon=True)
            for _ in range(self.threads)
        ]
        for worker in workers:
            worker.start()
        pause = Event()
        weights = [operation.weight for operation in self.operations]
        started = perf_counter()
        for number in range(count):
            if self.rate:
                due = started + number / self.rate
                pause.wait(max(0.0, due - perf_counter()))
            else:
                due = None
            (operation,) = self.random.choices(self.operations, weights)
            work.put((number, operation, due))
        for _ in workers:
            work.put(None)
        for worker in workers:
            worker.join()
        return [self.replies.get() for _ in range(self.replies.qsize())]

    def _work(self, work):
        pools = [
            HTTPConnectionPool(*address.split(":"), retries=False, timeout=TIMEOUT_S)
            for address in self.addresses
        ]
        while (item := work.get()) is not None:
            number, operation, due = item
            pool = pools[number % len(pools)]
            token = f"{self.seed}-{number}"
            started = perf_counter() if due is None else due
            reply = self._send(pool, operation, token)
            reply.latency_us = int((perf_counter() - started) * US_PER_S)
            self.replies.put(reply)
        for pool in pools:
            pool.close()

    def _send(self, pool, operation, token):
        headers = {"X-Token": token, **operation.headers}
        if operation.is_keyed:
            headers["Idempotency-Key"] = make_key(self.home, token)
        try:
            response = pool.request(
                operation.method, operation.path, body=token, headers=headers
            )
        except HTTPError as error:
            return Reply(operation.name, token, 0, type(error).__name__, "", False, 0)
        is_own = f'"token":"{token}"'.encode() in response.data
        reason = response.headers.get("Cyclamentally-Reason", "")
        ran = response.headers.get("Cyclamentally-Ran", "")
        return Reply(operation.name, token, response.status, reason, ran, is_own, 0)


def make_key(home, token):
    """Return an idempotency key for a token, with the current time."""
    minted_ms = time_ns() // NS_PER_MS
    value = (minted_ms << 80) | (7 << 76) | (2 << 62) | (hash_text(token) >> 2)
    prefix = f"{home}." if home else ""
    return f"{prefix}{UUID(int=value)}"


def percentile_ms(replies, percent):
    """Return a percentile of the latency of replies in ms."""
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for reply in replies:
        histogram.record_value(max(LOWEST_US, reply.latency_us))
    return histogram.get_value_at_percentile(percent) / 1_000
