"""Task that runs a waitress server for the admin interface."""

from contextlib import suppress
from threading import Thread

from waitress import create_server

from cyclamentally_node.settings import split_address

MAX_CONNECTIONS = 512
IDLE_TIMEOUT_S = 60
OUTPUT_HIGH_WATERMARK_BYTES = 1_000_000
# Hosts have no disks, so waitress must never spill a buffer to a file.
SPILL_THRESHOLD_BYTES = 1 << 40


class HttpServer:
    """Serve a WSGI application in a thread that owns all its sockets.

    Parameters
    ----------
    application : callable
        WSGI application.
    address : str
        ``IP:port`` to listen on; port 0 selects a free port.
    threads : int
        Number of worker threads.
    max_body : int
        Maximum size of a request body in bytes.
    """

    __slots__ = ("server", "thread")

    def __init__(self, application, address, threads, max_body):
        host, port = split_address(address)
        self.server = create_server(
            application,
            host=host,
            port=port,
            threads=threads,
            connection_limit=MAX_CONNECTIONS,
            channel_timeout=IDLE_TIMEOUT_S,
            clear_untrusted_proxy_headers=True,
            channel_request_lookahead=1,
            max_request_body_size=max_body + 1,
            inbuf_overflow=SPILL_THRESHOLD_BYTES,
            outbuf_overflow=SPILL_THRESHOLD_BYTES,
            outbuf_high_watermark=OUTPUT_HIGH_WATERMARK_BYTES,
            ident=None,
        )
        self.thread = Thread(target=self.server.run, daemon=True)

    @property
    def port(self):
        """Port on which the server listens."""
        return int(self.server.effective_port)

    def start(self):
        """Begin to serve."""
        self.thread.start()

    def close(self):
        """Stop the server thread, which closes its sockets, and wait for it."""
        if self.thread.is_alive():
            # The server thread may run the function and close the pipe before
            # this call has written to it.
            with suppress(OSError):
                self.server.trigger.pull_trigger(self._close_sockets)
            self.thread.join()
        self.server.task_dispatcher.shutdown()

    def _close_sockets(self):
        for channel in list(self.server.active_channels.values()):
            channel.handle_close()
        self.server.close()
