"""Mutual authentication of the two ends of a link, without I/O.

Both ends hold the same secret key. Each proves it by a MAC over both
nonces, so that a recorded handshake can't be replayed::

    client                               server
    Hello(version, identity, nonce)  ->
                                     <-  Challenge(nonce)
    Proof(mac)                       ->
                                     <-  Accept(identity, mac)

The client authenticates first, so that a client without the key learns
nothing from a server: neither a MAC for guessing the key offline nor the
server's name. The messages after the handshake are neither signed nor
encrypted: the network between our instances is trusted.
"""

import dataclasses
import hmac
import secrets

import cbor2

from berylhollow.link import _codec

VERSION = 1
"""Handshake version; a server rejects a client with another one."""

NONCE_BYTES = 16
MAXIMUM_BYTES = 1024
"""Largest handshake message that is accepted from a peer, in bytes."""


class HandshakeError(Exception):
    """The peer did not prove that it holds the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The process at one end; ``incarnation`` changes at each restart."""

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
    """The server's nonce, which the client must sign."""

    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """The client's proof that it holds the key."""

    mac: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Accept:
    """The server's identity and its proof that it holds the key."""

    identity: Identity
    mac: bytes


CODEC = _codec.Codec({1: Hello, 2: Challenge, 3: Proof, 4: Accept})


class ClientHandshake:
    """The client's side of one handshake.

    ``peer`` is the server's identity, None until it has authenticated.
    ``has_sent_all`` is true once this side has sent its last message.
    """

    def __init__(self, key: bytes, identity: Identity):
        self.key = key
        self.identity = identity
        self.nonce = secrets.token_bytes(NONCE_BYTES)
        self.server_nonce = b''
        self.has_sent_all = False
        self.peer: Identity | None = None

    def begin(self) -> bytes | None:
        """Return the client's first message."""
        return pack(Hello(VERSION, self.identity, self.nonce))

    def receive(self, data: bytes) -> bytes | None:
        """Process a message of the server and return the reply, if any.

        Raises HandshakeError if the server fails to authenticate.
        """
        if self.has_sent_all:
            self._finish(unpack(data, Accept))
            return None
        return self._prove(unpack(data, Challenge))

    def mac(self, label: str, prover: Identity) -> bytes:
        """Return the MAC that ``prover`` must send."""
        nonces = (self.nonce, self.server_nonce)
        return sign(self.key, label, nonces, self.identity, prover)

    def _prove(self, challenge: Challenge) -> bytes:
        _check_nonce(challenge.nonce)
        self.server_nonce = challenge.nonce
        self.has_sent_all = True
        return pack(Proof(self.mac('client', self.identity)))

    def _finish(self, accept: Accept):
        expected = self.mac('server', accept.identity)
        if not hmac.compare_digest(expected, accept.mac):
            raise HandshakeError('the server does not hold the key')
        self.peer = accept.identity


class ServerHandshake:
    """The server's side of one handshake.

    ``peer`` is the client's identity, None until it has authenticated.
    ``has_sent_all`` is true once this side has sent its last message.
    """

    def __init__(self, key: bytes, identity: Identity):
        self.key = key
        self.identity = identity
        self.nonce = secrets.token_bytes(NONCE_BYTES)
        self.hello: Hello | None = None
        self.has_sent_all = False
        self.peer: Identity | None = None

    def begin(self) -> bytes | None:
        """Return None, because the client sends the first message."""
        return None

    def receive(self, data: bytes) -> bytes | None:
        """Process a message of the client and return the reply.

        Raises HandshakeError if the client fails to authenticate.
        """
        if self.hello is None:
            return self._challenge(unpack(data, Hello))
        return self._accept(unpack(data, Proof))

    def mac(self, label: str, prover: Identity) -> bytes:
        """Return the MAC that ``prover`` must send."""
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
        self.has_sent_all = True
        return pack(Accept(self.identity, self.mac('server', self.identity)))


def sign(
    key: bytes,
    label: str,
    nonces: tuple[bytes, bytes],
    client: Identity,
    prover: Identity,
) -> bytes:
    """Return the MAC that ``prover`` sends.

    The label keeps an attacker from reflecting an end's own proof back to
    it. CBOR delimits the parts, so that different handshakes never sign
    the same bytes.
    """
    parts = [label, VERSION, *nonces]
    for identity in (client, prover):
        parts += [identity.instance_id, identity.role, identity.incarnation]
    return hmac.digest(key, cbor2.dumps(parts), 'sha256')


def pack(message) -> bytes:
    """Return the wire form of a handshake message."""
    return _codec.encode_list([CODEC.encode(message)])


def unpack(data: bytes, cls: type):
    """Return the single message in ``data``.

    Raises HandshakeError unless it is an instance of ``cls``.
    """
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
