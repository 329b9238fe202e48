"""Client of the admin ports of entry instances."""

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from ..storage import HttpClient
from ..storage.http import HttpAnswer

__all__ = ["AdminAddress", "AdminFailure", "AdminPage", "fetch_admin_page"]

OK = 200


@dataclass(frozen=True, slots=True)
class AdminAddress:
    """IPv4 address and admin port of an instance."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class AdminPage:
    """Admin page that an instance returned."""

    address: AdminAddress
    document: dict[str, Any]


@dataclass(frozen=True, slots=True)
class AdminFailure:
    """Failure to get an admin page from an instance."""

    address: AdminAddress
    reason: str


async def fetch_admin_page(
    client: HttpClient, address: AdminAddress, page: str, arguments: dict[str, str]
) -> AdminPage | AdminFailure:
    """Fetch an admin page of an instance.

    Parameters
    ----------
    client : HttpClient
    address : AdminAddress
    page : str
        Path without the leading slash.
    arguments : dict of str to str
        Query arguments.
    """
    query = f"?{urlencode(arguments)}" if arguments else ""
    answer = await client.call("GET", f"http://{address}/{page}{query}", {})
    if not isinstance(answer, HttpAnswer):
        return AdminFailure(address, answer.reason)
    try:
        document = json.loads(answer.body)
    except ValueError:
        return AdminFailure(address, f"status {answer.status}, and no JSON")
    if answer.status != OK or not isinstance(document, dict):
        error = document.get("error", "") if isinstance(document, dict) else ""
        return AdminFailure(address, f"status {answer.status} {error}".rstrip())
    return AdminPage(address, document)
