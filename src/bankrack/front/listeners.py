"""HTTP listeners, with or without TLS."""

import ssl

from aiohttp import web

from bankrack.settings import TlsSettings

MAX_HEADER_BYTES = 16 * 1024
SHUTDOWN_TIMEOUT_SECONDS = 1.0


async def serve_application(
    application: web.Application, address: str, *, tls: TlsSettings | None = None
) -> web.AppRunner:
    """Listen on ``ip:port``; ``cleanup`` of the returned runner stops the listener."""
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
    )
    await runner.setup()
    site = web.TCPSite(
        runner, host.strip("[]"), int(port), ssl_context=_context(tls), backlog=1024
    )
    await site.start()
    return runner


def _context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    if tls is None or not tls.certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.private_key)
    if tls.authority:
        context.load_verify_locations(tls.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context
