"""Clients that leave: behind much unread input, or to send the same request again."""

from __future__ import annotations

import asyncio
import socket

import pytest
from rig import NOT_RUN, OK, Rig, ScriptedServer, async_test, read_message, request

BODY = b"m" * 60_000
FURTHER_REQUESTS = 8
ENDPOINT_DELAY_S = 0.3


def one_request_and_much_behind_it() -> bytes:
    """Return a small request, and behind it more than the proxy reads while the first is pending."""
    return request("look") + b"".join(request("put", body=BODY) for _ in range(FURTHER_REQUESTS))


async def send_and_end(rig: Rig, data: bytes, ends_sending_only: bool) -> socket.socket:
    """Send data on a new connection, then close it, or only its sending side."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setblocking(False)
    await loop.sock_connect(client, ("127.0.0.1", rig.port))
    await loop.sock_sendall(client, data)
    if ends_sending_only:
        client.shutdown(socket.SHUT_WR)
    else:
        client.close()
    return client


async def reply_late(response: bytes) -> bytes:
    """Return a response after the client has left."""
    await asyncio.sleep(ENDPOINT_DELAY_S)
    return response


@async_test
async def test_no_retry_is_sent_for_a_client_that_closed_with_much_still_unread() -> None:
    """Guards against retries and hedges while the end of the connection cannot be seen behind its input."""
    endpoints = [ScriptedServer(f"s{index}", lambda _: reply_late(NOT_RUN)) for index in range(3)]
    async with Rig(*endpoints) as rig:
        await send_and_end(rig, one_request_and_much_behind_it(), ends_sending_only=False)
        await asyncio.sleep(3 * ENDPOINT_DELAY_S)
        assert sum(len(endpoint.received_requests) for endpoint in endpoints) == 1


@async_test
async def test_requests_are_not_forwarded_after_their_client_has_ended_its_side_with_much_unread() -> None:
    """Guards against requests that are sent on after their client has gone."""
    endpoint = ScriptedServer("s1", lambda _: reply_late(OK))
    async with Rig(endpoint) as rig:
        client = await send_and_end(rig, one_request_and_much_behind_it(), ends_sending_only=True)
        await asyncio.sleep(3 * ENDPOINT_DELAY_S)
        assert len(endpoint.received_requests) == 1
        client.close()


@async_test
async def test_pipelined_requests_that_fit_into_the_buffers_are_all_served() -> None:
    endpoint = ScriptedServer("s1")
    async with Rig(endpoint) as rig:
        reader, writer = await rig.connect(b"".join(request("look") for _ in range(100)))
        statuses = [(await read_message(reader))[0].split()[1] for _ in range(100)]
        assert statuses == [b"200"] * 100
        writer.close()


@async_test
async def test_every_request_of_a_client_that_stays_is_answered_however_much_it_sends() -> None:
    """Those that arrive while the proxy cannot tell whether the client is still there get 503."""
    endpoint = ScriptedServer("s1", lambda _: reply_late(OK))
    async with Rig(endpoint) as rig:
        reader, writer = await rig.connect(one_request_and_much_behind_it())
        statuses = [(await read_message(reader))[0].split()[1] for _ in range(1 + FURTHER_REQUESTS)]
        assert statuses[0] == b"200"
        assert set(statuses[1:]) <= {b"200", b"503"}
        assert statuses.count(b"200") == len(endpoint.received_requests)
        writer.close()


@async_test
@pytest.mark.parametrize(
    ("class_name", "expected_status", "expected_runs"),
    [("look", 200, 2), ("pay", 400, 1), ("put", 400, 1)],
    ids=["idempotent", "non-idempotent", "keyed"],
)
async def test_request_id_that_may_have_run_for_a_client_that_left_is_not_run_again(
    class_name: str, expected_status: int, expected_runs: int
) -> None:
    """Guards against a second run of an id that comes again after its client has left."""
    endpoint = ScriptedServer("s1", lambda server: OK if len(server.received_requests) > 1 else None)
    async with Rig(endpoint) as rig:
        _, writer = await rig.connect(request(class_name, X_Request_Id="again"))
        while not endpoint.received_requests:
            await asyncio.sleep(0.005)
        writer.close()
        await endpoint.peer_closed.wait()
        assert (await rig.get_response(class_name, X_Request_Id="again"))[0] == expected_status
        assert len(endpoint.received_requests) == expected_runs


@async_test
async def test_request_id_that_has_not_run_can_come_again() -> None:
    """The proxy closed an idle connection, say, and the client sends its request on a new one."""
    endpoint = ScriptedServer("s1", NOT_RUN)
    async with Rig(endpoint) as rig:
        assert (await rig.get_response("pay", 400, X_Request_Id="again"))[0] == 503
        endpoint.reply = OK
        assert (await rig.get_response("pay", X_Request_Id="again"))[0] == 200
