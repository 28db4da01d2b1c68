"""Peer links: shared keys, TLS, malformed and oversized frames."""

import datetime
import ipaddress
import pathlib
import tempfile
import unittest
from unittest import mock

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid
import httpcore
import trio

from acacialine import codec
from acacialine import errors
from acacialine import ids
from acacialine import keys
from acacialine import links
from acacialine import messages
from acacialine import settings as settings_lib
from acacialine.tests import support

SERVER = ids.Incarnation("127.0.0.1", 7001, "a" * 16)
CLIENT = ids.Incarnation("127.0.0.1", 7002, "b" * 16)


def write_certificate(
    directory: pathlib.Path, name: str, days: int
) -> settings_lib.TlsSettings:
    """Writes a self-signed certificate that expires in `days` days."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
    today = datetime.datetime.now(datetime.UTC)
    names = x509.SubjectAlternativeName(
        [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
    )
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(today - datetime.timedelta(days=30))
        .not_valid_after(today + datetime.timedelta(days=days))
        .add_extension(names, False)
        .add_extension(x509.BasicConstraints(True, None), True)
        .sign(key, hashes.SHA256())
    )
    cert_path = directory / f"{name}.pem"
    key_path = directory / f"{name}.key"
    cert_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return settings_lib.TlsSettings(
        str(cert_path), str(key_path), str(cert_path)
    )


class LinksTest(unittest.TestCase):
    def setUp(self):
        self.rejected: list[str] = []
        self.received: list[tuple[str, messages.Message]] = []

    async def _handle_message(self, peer, message):
        self.received.append((peer, message))
        return messages.Acknowledged()

    async def _run_with_server(
        self, server: links.Identity, run_client
    ) -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            address = listeners[0].socket.getsockname()

            async def serve(stream):
                await links.serve_link(
                    stream, server, self._handle_message, self.rejected.append
                )

            nursery.start_soon(trio.serve_listeners, serve, listeners)
            await run_client(address)
            await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    def _identity(self, incarnation, peer_keys, tls=None):
        if tls is None:
            return links.Identity(incarnation, peer_keys)
        return links.Identity(
            incarnation,
            peer_keys,
            keys.peer_server_context(tls),
            keys.peer_client_context(tls),
        )

    def _call(self, server, client) -> bool:
        """Returns whether a call of the client to the server succeeds."""
        successes = []

        async def run_client(address):
            pool = links.CallPool(client, str(SERVER), address)
            try:
                await pool.call(messages.ConfigCall(1))
                successes.append(True)
            except errors.PeerError:
                pass
            await pool.aclose()

        support.run(self._run_with_server, server, run_client)
        return bool(successes)

    def test_shared_key_is_accepted(self):
        server = self._identity(SERVER, ("k1",))
        self.assertTrue(self._call(server, self._identity(CLIENT, ("k1",))))
        self.assertEqual(self.received[0][0], str(CLIENT))

    def test_wrong_key_is_refused_and_reported(self):
        server = self._identity(SERVER, ("k1",))
        self.assertFalse(self._call(server, self._identity(CLIENT, ("k2",))))
        self.assertEqual(self.received, [])
        self.assertEqual(len(self.rejected), 1)

    def test_rotation_with_two_keys_at_once(self):
        server = self._identity(SERVER, ("old", "new"))
        for name in ("old", "new"):
            client = self._identity(CLIENT, (name,))
            self.assertTrue(self._call(server, client))

    def test_another_incarnation_is_not_called(self):
        server = self._identity(CLIENT, ("k1",))
        self.assertFalse(self._call(server, self._identity(CLIENT, ("k1",))))
        self.assertEqual(self.received, [])

    def test_a_message_whose_write_fails_is_sent_again(self):
        original = links.FramedStream.send_frame
        failures = []

        async def send_frame(link, data):
            # The frames of the handshake are shorter than this.
            if len(data) > 300 and not failures:
                failures.append(data)
                raise trio.BrokenResourceError("reset")
            await original(link, data)

        async def run_client(address):
            link = links.ControlLink(
                self._identity(CLIENT, ("k",)),
                str(SERVER),
                address,
                lambda peer_id: None,
                lambda size: None,
            )
            first = messages.ConfigReply(1, b"x" * 400)
            second = messages.ConfigReply(2, b"")
            link.post(first)
            link.post(second)
            link.close()
            with trio.fail_after(5):
                await link.run()
                while len(self.received) < 2:
                    await trio.sleep(0.01)
            self.assertEqual([m for _, m in self.received], [first, second])

        with mock.patch.object(links.FramedStream, "send_frame", send_frame):
            server = self._identity(SERVER, ("k",))
            support.run(self._run_with_server, server, run_client)
        self.assertEqual(len(failures), 1)

    def test_call_over_tls(self):
        with tempfile.TemporaryDirectory() as directory:
            tls = write_certificate(pathlib.Path(directory), "good", 30)
            server = self._identity(SERVER, ("k1",), tls)
            client = self._identity(CLIENT, ("k1",), tls)
            self.assertTrue(self._call(server, client))

    def test_expired_certificate_and_plain_text_are_refused(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory)
            valid = write_certificate(path, "good", 30)
            expired = write_certificate(path, "old", -1)
            server = self._identity(SERVER, ("k1",), valid)
            for client in (
                self._identity(CLIENT, ("k1",), expired),
                self._identity(CLIENT, ("k1",)),
            ):
                self.rejected.clear()
                self.assertFalse(self._call(server, client))
                self.assertGreaterEqual(len(self.rejected), 1)
            self.assertEqual(self.received, [])

    def test_malformed_and_oversized_frames_close_the_connection(self):
        server = self._identity(SERVER, ("k1",))
        client = self._identity(CLIENT, ("k1",))

        async def run_client(address):
            malformed = [
                b"\xff" * 50,
                (links.MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
                (3).to_bytes(4, "big") + b"abc",
                (8).to_bytes(4, "big") + bytes(8),
            ]
            for data in malformed:
                link, _ = await links.dial(client, address)
                await link.stream.send_all(data)
                with trio.fail_after(2):
                    self.assertEqual(await link.stream.receive_some(10), b"")
                await link.aclose()
            # The listener still serves other connections.
            pool = links.CallPool(client, str(SERVER), address)
            await pool.call(messages.ConfigCall(1))
            await pool.aclose()

        support.run(self._run_with_server, server, run_client)
        self.assertEqual(len(self.rejected), 4)
        self.assertEqual(len(self.received), 1)

    def test_clients_over_tls(self):
        support.run(self._check_clients_over_tls)

    async def _check_clients_over_tls(self):
        with tempfile.TemporaryDirectory() as directory:
            tls = write_certificate(pathlib.Path(directory), "good", 30)
            extra_settings = {
                "tls": {
                    "certificate": tls.certificate,
                    "key": tls.key,
                    "ca": tls.ca,
                }
            }
            async with support.running_installation(
                ["a"], [2], [1], extra_settings
            ) as running_installation:
                host, port = running_installation.layout.entries[0].caller
                context = keys.peer_client_context(tls)
                headers = {"Authorization": f"Bearer {support.TOKEN}"}
                async with httpcore.AsyncConnectionPool(
                    ssl_context=context
                ) as pool:
                    response = await pool.request(
                        "POST",
                        f"https://{host}:{port}/v1/tasks/quick",
                        headers=headers,
                        content=b"{}",
                    )
                self.assertEqual(response.status, 200)


class CodecTest(unittest.TestCase):
    def test_round_trip(self):
        heartbeat = messages.Heartbeat(
            str(SERVER),
            "n",
            "z",
            "live",
            1,
            2.5,
            3,
            "",
            "a:1",
            4,
            8,
            2,
            1.5,
            0,
            [messages.HeldReport(str(CLIENT), 5, "b1")],
            [messages.MemberReport(str(CLIENT), "m", "z", "live", 1, 2)],
            [messages.BackendReport("b1", True)],
            [messages.TeamDemand("t", 1.5)],
            [1, 2, 3],
            [0.5, 1.5],
        )
        grant = messages.GrantMessage(
            str(SERVER),
            1.5,
            2,
            3,
            [messages.GrantEntry(1, "b", "t", "k", True, 9)],
        )
        for message in (heartbeat, grant, messages.Acknowledged()):
            frame = codec.Frame(7, message)
            self.assertEqual(codec.decode(codec.encode(frame)), frame)

    def test_malformed_frames_raise_peer_errors(self):
        encoded = codec.encode(codec.Frame(0, messages.ConfigCall(9)))
        for data in (b"", b"garbage" * 9, encoded[:-1], bytes(16)):
            with self.assertRaises(errors.PeerError):
                codec.decode(data)


if __name__ == "__main__":
    unittest.main()
