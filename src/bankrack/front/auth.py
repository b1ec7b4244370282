"""Authentication of workspaces and operators by bearer tokens, stored as hashes."""

import hashlib
import hmac
import typing as t

from aiohttp import web

from bankrack.control.intent import Intent
from bankrack.control.intent import Workspace
from bankrack.exceptions import AuthenticationFailed

BEARER_PREFIX = "bearer "


def hash_token(token: str) -> str:
    """Hash a token in the form that settings and intents contain."""
    return hashlib.sha256(token.encode()).hexdigest()


class Workspaces:
    """Authenticates requests of workspaces."""

    def __init__(self) -> None:
        self._by_token_hash: dict[str, Workspace] = {}

    def replace(self, intent: Intent) -> None:
        """Replace the workspaces by those of a new intent."""
        self._by_token_hash = {
            workspace.token_sha256: workspace
            for workspace in intent.workspaces_by_name.values()
        }

    def authenticate(self, request: web.BaseRequest) -> Workspace:
        """Return the workspace whose token the request carries."""
        workspace = self._by_token_hash.get(hash_token(bearer_token(request)))
        if workspace is None:
            raise _authentication_error()
        return workspace


def authenticate_operator(
    request: web.BaseRequest, hashes_by_name: t.Mapping[str, str]
) -> str:
    """Return the name of the operator whose token the request carries."""
    presented = hash_token(bearer_token(request))
    found = ""
    for name, expected in hashes_by_name.items():
        if hmac.compare_digest(presented, expected):
            found = name
    if not found:
        raise _authentication_error()
    return found


def bearer_token(request: web.BaseRequest) -> str:
    """Return the bearer token of a request; there must be exactly one."""
    values = request.headers.getall("Authorization", [])
    if len(values) != 1 or not values[0].lower().startswith(BEARER_PREFIX):
        raise _authentication_error()
    return values[0][len(BEARER_PREFIX) :].strip()


def _authentication_error() -> AuthenticationFailed:
    return AuthenticationFailed(
        "the request has no valid token; send one 'Authorization: Bearer <token>'"
    )
