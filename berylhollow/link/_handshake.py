"""Mutual authentication of the two ends of a link, without I/O.

Both ends hold the same secret key. Each proves it by a MAC over both
nonces, so that a recorded handshake is worth nothing the next time::

    client                               server
    Hello(version, identity, nonce)  ->
                                     <-  Challenge(nonce)
    Proof(mac)                       ->
                                     <-  Accept(identity, mac)

The client proves itself first, so that a stranger learns nothing from a
server: no MAC to guess the key from, and not even the server's name. What
follows on the connection is neither signed nor encrypted: the network
between our instances is trusted to deliver what was sent.
"""

import dataclasses
import hmac
import secrets

import cbor2

from berylhollow.link import _codec

VERSION = 1
"""Version of the handshake; ends with different ones refuse each other."""

NONCE_BYTES = 16
MAXIMUM_BYTES = 1024
"""Largest handshake message that is read from a peer, in bytes."""


class HandshakeError(Exception):
    """The peer did not prove that it holds the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who is at an end: a restarted process has another incarnation."""

    instance_id: str
    role: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of a client."""

    version: int
    identity: Identity
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """The server's nonce, which the client has to sign."""

    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """The client's proof."""

    mac: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Accept:
    """The server's name and its own proof."""

    identity: Identity
    mac: bytes


CODEC = _codec.Codec({1: Hello, 2: Challenge, 3: Proof, 4: Accept})


class ClientHandshake:
    """The client's side of one handshake.

    ``peer`` is the server once it has proved itself; ``spoken`` tells that
    nothing is left for this side to send.
    """

    def __init__(self, key: bytes, identity: Identity):
        self.key = key
        self.identity = identity
        self.nonce = secrets.token_bytes(NONCE_BYTES)
        self.server_nonce = b''
        self.spoken = False
        self.peer: Identity | None = None

    def begin(self) -> bytes | None:
        """Return the greeting that opens the handshake."""
        return pack(Hello(VERSION, self.identity, self.nonce))

    def receive(self, data: bytes) -> bytes | None:
        """Take what the server sent and return the answer, if any.

        Raises HandshakeError if the server can't be trusted.
        """
        if self.spoken:
            self._finish(unpack(data, Accept))
            return None
        return self._prove(unpack(data, Challenge))

    def mac(self, label: str, prover: Identity) -> bytes:
        """Return the MAC that ``prover`` has to send."""
        nonces = (self.nonce, self.server_nonce)
        return sign(self.key, label, nonces, self.identity, prover)

    def _prove(self, challenge: Challenge) -> bytes:
        _check_nonce(challenge.nonce)
        self.server_nonce = challenge.nonce
        self.spoken = True
        return pack(Proof(self.mac('client', self.identity)))

    def _finish(self, accept: Accept):
        expected = self.mac('server', accept.identity)
        if not hmac.compare_digest(expected, accept.mac):
            raise HandshakeError('the server does not hold the key')
        self.peer = accept.identity


class ServerHandshake:
    """The server's side of one handshake; attributes as the client's."""

    def __init__(self, key: bytes, identity: Identity):
        self.key = key
        self.identity = identity
        self.nonce = secrets.token_bytes(NONCE_BYTES)
        self.hello: Hello | None = None
        self.spoken = False
        self.peer: Identity | None = None

    def begin(self) -> bytes | None:
        """Return nothing: the client speaks first."""
        return None

    def receive(self, data: bytes) -> bytes | None:
        """Take what the client sent and return the answer.

        Raises HandshakeError if the client can't be trusted.
        """
        if self.hello is None:
            return self._challenge(unpack(data, Hello))
        return self._accept(unpack(data, Proof))

    def mac(self, label: str, prover: Identity) -> bytes:
        """Return the MAC that ``prover`` has to send."""
        nonces = (self.hello.nonce, self.nonce)
        return sign(self.key, label, nonces, self.hello.identity, prover)

    def _challenge(self, hello: Hello) -> bytes:
        if hello.version != VERSION:
            raise HandshakeError(f'version {hello.version} is not {VERSION}')
        _check_nonce(hello.nonce)
        self.hello = hello
        return pack(Challenge(self.nonce))

    def _accept(self, proof: Proof) -> bytes:
        expected = self.mac('client', self.hello.identity)
        if not hmac.compare_digest(expected, proof.mac):
            raise HandshakeError('the client does not hold the key')
        self.peer = self.hello.identity
        self.spoken = True
        return pack(Accept(self.identity, self.mac('server', self.identity)))


def sign(
    key: bytes,
    label: str,
    nonces: tuple[bytes, bytes],
    client: Identity,
    prover: Identity,
) -> bytes:
    """Return the MAC that one end sends.

    The label keeps an attacker from sending an end's own proof back to it;
    CBOR marks where each part ends, so that no two handshakes share the
    signed bytes.
    """
    parts = [label, VERSION, *nonces]
    for identity in (client, prover):
        parts += [identity.instance_id, identity.role, identity.incarnation]
    return hmac.digest(key, cbor2.dumps(parts), 'sha256')


def pack(message) -> bytes:
    """Return one handshake message as it is sent."""
    return _codec.join([CODEC.encode(message)])


def unpack(data: bytes, cls: type):
    """Return the one message in ``data``, which must be a ``cls``."""
    try:
        messages = CODEC.decode(data)
    except _codec.CodecError as error:
        raise HandshakeError(str(error)) from error
    if len(messages) != 1 or type(messages[0]) is not cls:
        raise HandshakeError(f'expected {cls.__name__}')
    return messages[0]


def _check_nonce(nonce: bytes):
    if len(nonce) != NONCE_BYTES:
        raise HandshakeError(f'a nonce has {NONCE_BYTES} bytes')
