"""Tests of links over loopback: handshake, order, limits and closing."""

import asyncio
import contextlib
import unittest
from unittest import mock

import cbor2
from websockets.asyncio import client
from websockets import exceptions

from berylhollow import link as links
from berylhollow.link import _client
from berylhollow.link import _flusher
from berylhollow.link import _handshake
from test import link_builders as build

Reason = links.Reason
HANG_S = 5
"""Far above any normal wait; a test then fails instead of hanging."""


class LinkCase(unittest.IsolatedAsyncioTestCase):
    async def start_server(self, key=build.KEY, **options):
        self.server_handler = build.RecordingHandler()
        self.server = build.server(self.server_handler, key, **options)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def start_client(self, key=build.KEY, port=None, **options):
        self.client_handler = build.RecordingHandler()
        port = self.server.port if port is None else port
        self.client = build.client(port, self.client_handler, key, **options)
        link = self.client.start()
        await self.client_handler.until(
            lambda: self.client_handler.ups or link.reason
        )
        return link

    async def connect_raw(self):
        """Return a websocket to the server without starting a handshake."""
        connection = await client.connect(
            f'ws://127.0.0.1:{self.server.port}/', proxy=None
        )
        self.addCleanup(connection.transport.abort)
        return connection

    async def assert_refused(self, connection, reason):
        with self.assertRaises(exceptions.ConnectionClosed) as caught:
            await connection.recv()
        self.assertEqual(reason, caught.exception.rcvd.code)
        while not self.server.refused:
            await asyncio.sleep(0)
        self.assertEqual(
            [], self.server_handler.ups + self.server_handler.downs
        )


class LinkTest(LinkCase):
    async def test_both_ends_know_each_other_and_order_is_kept(self):
        await self.start_server()
        link = await self.start_client()
        await self.server_handler.until(lambda: self.server_handler.ups)
        self.assertEqual(build.SIDECAR, link.peer)
        server_link = self.server_handler.ups[0]
        self.assertEqual(build.GATEWAY, server_link.peer)
        for number in range(100):
            self.assertTrue(link.send(build.note(number)))
            self.assertTrue(server_link.send(build.note(-number)))
        await self.server_handler.until(
            lambda: len(self.server_handler.messages) == 100
        )
        await self.client_handler.until(
            lambda: len(self.client_handler.messages) == 100
        )
        numbers = [message.number for message in self.server_handler.messages]
        self.assertEqual(list(range(100)), numbers)
        self.assertEqual(1, link.sent_frames)

    async def test_close_flushes_and_tells_the_reason(self):
        await self.start_server()
        link = await self.start_client(flush_delay_ms=60_000)
        large = bytes(100_000)
        for number in range(30):
            link.send(build.note(number, large))
        link.close(Reason.LEAVING)
        self.assertFalse(link.send(build.note(99)))
        await self.server_handler.until(lambda: self.server_handler.downs)
        self.assertEqual(30, len(self.server_handler.messages))
        self.assertEqual([Reason.LEAVING], self.server_handler.downs)
        await self.client.wait()
        self.assertEqual([Reason.LEAVING], self.client_handler.downs)

    async def test_stopped_server_tells_its_clients(self):
        await self.start_server()
        await self.start_client()
        await self.server.stop()
        await self.client_handler.until(lambda: self.client_handler.downs)
        self.assertEqual([Reason.LEAVING], self.client_handler.downs)

    async def test_link_that_opens_while_the_server_stops(self):
        """A stopping sidecar ran into its time limit and was aborted.

        A gateway's connection was accepted after the stop had closed all
        links but before the port was closed. Its link came up and the stop
        waited for it to end. The log showed the gateway as linked after the
        sidecar had begun to stop, and orders of the sidecar after that.
        """
        self.server_handler = build.RecordingHandler()
        server = build.server(self.server_handler, build.KEY)
        taken, closed = asyncio.Event(), asyncio.Event()
        serve = server._serve

        async def serve_late(connection):
            taken.set()
            await closed.wait()
            await serve(connection)

        with mock.patch.object(server, '_serve', serve_late):
            await server.start()
        self.server = server
        connection = await self.connect_raw()
        await taken.wait()
        stopping = asyncio.create_task(server.stop())
        await asyncio.sleep(0)
        closed.set()
        with contextlib.suppress(exceptions.ConnectionClosed):
            await authenticate(connection)
        async with asyncio.timeout(HANG_S):
            await stopping
        self.assertEqual([], self.server_handler.ups)

    async def test_no_server_is_reported_once(self):
        await self.start_server()
        await self.server.stop()
        await self.start_client()
        await self.client.wait()
        self.assertEqual([Reason.CONNECT], self.client_handler.downs)
        self.assertEqual([], self.client_handler.ups)

    async def test_connection_cut_off(self):
        await self.start_server()
        link = await self.start_client()
        await self.server_handler.until(lambda: self.server_handler.ups)
        link.abort(Reason.REPLACED)
        await self.server_handler.until(lambda: self.server_handler.downs)
        self.assertEqual([Reason.LOST], self.server_handler.downs)
        await self.client.wait()
        self.assertEqual([Reason.REPLACED], self.client_handler.downs)

    async def test_failing_handler_costs_its_own_link_only(self):
        await self.start_server()
        first = await self.start_client()
        self.server_handler.message = lambda link, message: 1 / 0
        first.send(build.note(1))
        with self.assertLogs('berylhollow.link._link', 'ERROR'):
            await self.client.wait()
        self.assertEqual([Reason.HANDLER], self.client_handler.downs)
        self.assertTrue((await self.start_client()).is_up)

    async def test_stalled_peer_does_not_grow_memory(self):
        """A peer stops reading while answers for it are still queued.

        Without a limit the backlog grows until the process runs out of
        memory, which breaks the streams of all its other peers.
        """
        limits = {'congested_bytes': 200_000, 'overflow_bytes': 400_000}
        await self.start_server(**limits)
        connection = await self.connect_raw()
        await authenticate(connection)
        connection.transport.pause_reading()
        await self.server_handler.until(lambda: self.server_handler.ups)
        link = self.server_handler.ups[0]
        congested = 0
        while link.send(build.note(1, bytes(50_000))):
            congested += link.is_congested
            self.assertLessEqual(link.queued_bytes, 400_000)
            await asyncio.sleep(0)
        self.assertGreater(congested, 0)
        await self.server_handler.until(lambda: self.server_handler.downs)
        self.assertEqual([Reason.OVERFLOW], self.server_handler.downs)
        self.assertEqual(0, link.queued_bytes)

    async def test_malformed_message_costs_its_own_link_only(self):
        await self.start_server()
        healthy = await self.start_client()
        connection = await self.connect_raw()
        await authenticate(connection)
        await connection.send(cbor2.dumps([[10, 'note', 'x', b'']]))
        with self.assertLogs('berylhollow.link._link', 'WARNING'):
            await self.server_handler.until(lambda: self.server_handler.downs)
        self.assertEqual([Reason.MALFORMED], self.server_handler.downs)
        healthy.send(build.note(5))
        await self.server_handler.until(lambda: self.server_handler.messages)
        self.assertEqual([build.note(5)], self.server_handler.messages)

    async def test_message_too_large_for_the_peer_is_refused(self):
        await self.start_server()
        link = await self.start_client(maximum_bytes=1000)
        with self.assertRaises(ValueError):
            link.send(build.note(1, bytes(1000)))
        link.send(build.note(2))
        await self.server_handler.until(lambda: self.server_handler.messages)

    async def test_shared_frame_is_not_larger_than_the_peer_takes(self):
        await self.start_server(maximum_bytes=1000)
        link = await self.start_client(maximum_bytes=1000)
        for number in range(5):
            link.send(build.note(number, bytes(400)))
        await self.server_handler.until(
            lambda: len(self.server_handler.messages) == 5
        )
        self.assertEqual(3, link.sent_frames)


class AddressTest(unittest.TestCase):
    def test_address_of_either_version(self):
        self.assertEqual('ws://10.0.0.1:80/', _client.uri('10.0.0.1', 80))
        self.assertEqual('ws://[fd00::1]:80/', _client.uri('fd00::1', 80))


class FlusherTest(unittest.IsolatedAsyncioTestCase):
    async def test_one_that_fails_does_not_hold_up_the_others(self):
        flusher = links.Flusher(0)
        failing = mock.Mock()
        failing.flush.side_effect = OSError
        healthy = mock.Mock()
        flusher.add(failing)
        flusher.add(healthy)
        with self.assertLogs('berylhollow.link._flusher', 'ERROR'):
            await asyncio.sleep(0)
        healthy.flush.assert_called_once_with()

    async def test_quiet_links_do_not_wait_for_company(self):
        """A single request took three times as long as it should.

        Its offer, head and end each waited for the timer that is meant to
        let the tokens of many streams share a frame.
        """
        flusher = links.Flusher(60_000)
        link = mock.Mock()
        for _ in range(_flusher.IMMEDIATE_ROUNDS):
            flusher.add(link)
            await asyncio.sleep(0)
        self.assertEqual(_flusher.IMMEDIATE_ROUNDS, link.flush.call_count)
        flusher.add(link)
        await asyncio.sleep(0)
        self.assertEqual(_flusher.IMMEDIATE_ROUNDS, link.flush.call_count)


class AuthenticationTest(LinkCase):
    async def test_wrong_key(self):
        await self.start_server()
        with self.assertLogs('berylhollow.link', 'WARNING'):
            link = await self.start_client(key=b'another key')
            await self.client.wait()
        self.assertEqual([Reason.AUTHENTICATION], self.client_handler.downs)
        self.assertFalse(link.send(build.note(1)))
        self.assertEqual([], self.server_handler.ups)

    async def test_server_without_the_key(self):
        """A server without the key listens on the address of a sidecar."""
        await self.start_server()
        self.server.key = b'another key'
        accepting = mock.patch.object(
            _handshake.ServerHandshake, 'receive', accept_anything
        )
        self.enterContext(accepting)
        with self.assertLogs('berylhollow.link', 'WARNING'):
            await self.start_client()
            await self.client.wait()
        self.assertEqual([Reason.AUTHENTICATION], self.client_handler.downs)
        self.assertEqual([], self.client_handler.ups)

    async def test_message_without_handshake(self):
        await self.start_server()
        connection = await self.connect_raw()
        await connection.send(cbor2.dumps([[10, 'note', 1, b'']]))
        with self.assertLogs('berylhollow.link', 'WARNING'):
            await self.assert_refused(connection, Reason.AUTHENTICATION)

    async def test_replayed_handshake(self):
        """An attacker replays the recorded handshake of a gateway.

        The proof covers the server's nonce, which is new each time.
        """
        await self.start_server()
        recorded = await authenticate(await self.connect_raw())
        self.server_handler.ups.clear()
        connection = await self.connect_raw()
        await connection.send(recorded[0])
        await connection.recv()
        await connection.send(recorded[1])
        with self.assertLogs('berylhollow.link', 'WARNING'):
            with self.assertRaises(exceptions.ConnectionClosed) as caught:
                await connection.recv()
        self.assertEqual(Reason.AUTHENTICATION, caught.exception.rcvd.code)
        self.assertEqual([], self.server_handler.ups)

    async def test_proof_of_one_end_is_not_the_other_ends(self):
        """An attacker reflects a client's own proof as the server's."""
        handshake = _handshake.ClientHandshake(build.KEY, build.GATEWAY)
        challenge = _handshake.Challenge(bytes(_handshake.NONCE_BYTES))
        handshake.receive(_handshake.pack(challenge))
        mac = handshake.mac('client', build.GATEWAY)
        accept = _handshake.Accept(build.GATEWAY, mac)
        with self.assertRaises(_handshake.HandshakeError):
            handshake.receive(_handshake.pack(accept))

    async def test_silent_peers_are_closed(self):
        await self.start_server(handshake_timeout_ms=50)
        _, writer = await asyncio.open_connection(
            '127.0.0.1', self.server.port
        )
        self.addCleanup(writer.close)
        connection = await self.connect_raw()
        await self.assert_refused(connection, Reason.HANDSHAKE_TIMEOUT)

    async def test_large_frame_before_the_handshake_is_not_read(self):
        await self.start_server()
        connection = await self.connect_raw()
        with contextlib.suppress(exceptions.ConnectionClosed):
            await connection.send(bytes(_handshake.MAXIMUM_BYTES + 1))
        await self.assert_refused(connection, 1009)

    async def test_silent_server_is_given_up(self):
        listener = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        await self.start_client(port=port, handshake_timeout_ms=50)
        self.assertEqual([Reason.HANDSHAKE_TIMEOUT], self.client_handler.downs)


async def authenticate(connection):
    """Authenticate a raw connection; return both messages sent."""
    handshake = _handshake.ClientHandshake(build.KEY, build.GATEWAY)
    hello = handshake.begin()
    await connection.send(hello)
    proof = handshake.receive(await connection.recv())
    await connection.send(proof)
    handshake.receive(await connection.recv())
    return hello, proof


def accept_anything(handshake, data):
    """Reply like a server that can't check the proof."""
    if handshake.hello is None:
        handshake.hello = _handshake.unpack(data, _handshake.Hello)
        return _handshake.pack(_handshake.Challenge(handshake.nonce))
    mac = handshake.mac('server', handshake.identity)
    return _handshake.pack(_handshake.Accept(handshake.identity, mac))
