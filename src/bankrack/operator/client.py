"""HTTP client of a node's operator API, for the command line."""

import ssl
import typing as t

import aiohttp
import msgspec

from bankrack.exceptions import BankrackError
from bankrack.exceptions import NoUpstream

TIMEOUT_SECONDS = 30.0


class OperatorRefusal(BankrackError):
    """The node responded with an error.

    :param kind: error code in the response.
    """

    def __init__(self, message: str, *, kind: str) -> None:
        super().__init__(message)
        self.kind = kind


class OperatorClient:
    """Calls the operator API of one node.

    :param address: ``ip:port`` of the operator listener.
    :param token: bearer token of the operator.
    :param authority: file with the certificate authority; plain HTTP if empty.
    """

    def __init__(self, address: str, token: str, *, authority: str = "") -> None:
        scheme = "https" if authority else "http"
        self._base = f"{scheme}://{address}"
        self._headers = {"Authorization": f"Bearer {token}"}
        self._ssl: ssl.SSLContext | bool = True
        if authority:
            self._ssl = ssl.create_default_context(cafile=authority)

    async def get(self, path: str) -> t.Any:
        """Send a GET request and return the decoded response."""
        return await self._call("GET", path, b"")

    async def post(self, path: str, body: bytes = b"") -> t.Any:
        """Send a POST request and return the decoded response."""
        return await self._call("POST", path, body)

    async def _call(self, method: str, path: str, body: bytes) -> t.Any:
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        try:
            async with (
                aiohttp.ClientSession(
                    headers=self._headers, timeout=timeout
                ) as session,
                session.request(
                    method, self._base + path, data=body, ssl=self._ssl
                ) as response,
            ):
                data = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise NoUpstream(
                f"the node at {self._base} does not respond; name another with --node"
            ) from error
        if status == 200:
            return msgspec.json.decode(data)
        raise _error_from_response(data, status)


def _error_from_response(data: bytes, status: int) -> OperatorRefusal:
    try:
        error = msgspec.json.decode(data)["error"]
        return OperatorRefusal(str(error["message"]), kind=str(error["code"]))
    except (msgspec.DecodeError, KeyError, TypeError):
        return OperatorRefusal(
            f"the node responded with status {status}", kind="unknown"
        )
