"""Platform effects: reads and appends of the log, the instance list."""

import collections.abc
import logging
import typing

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow import log_service
from berylhollow import outgoing
from berylhollow.shell import _tasks


LOG = logging.getLogger(__name__)


class Log(typing.Protocol):
    """A client of the log; raises the kinds of ``outgoing.CallError``."""

    async def read(
        self, stream: str, from_offset: int, *, wait_ms: int = 0
    ) -> log_service.ReadResult:
        """Return the records of a stream from an offset on."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""

    async def close(self) -> None:
        """Close the connections."""


class KeyedLog(Log, typing.Protocol):
    """A log client that can also read the newest record of each key."""

    async def newest(self, stream: str) -> log_service.ReadResult:
        """Return the newest record of each key."""


class InstanceList(typing.Protocol):
    """A client of the deployment's instance list."""

    async def list(self) -> tuple[events.Instance, ...]:
        """Return all instances that are listed now."""

    async def close(self) -> None:
        """Close the connections."""


class LogServiceInstances:
    """A client of the instance list in this project's log service."""

    def __init__(self, url: str):
        self.client = log_service.InstanceClient(url)

    async def list(self) -> tuple[events.Instance, ...]:
        return tuple(
            _instance_from_entry(entry) for entry in await self.client.list()
        )

    async def close(self) -> None:
        await self.client.close()


EVENT_ROLES = {
    log_service.Role.GATEWAY: events.Role.GATEWAY,
    log_service.Role.ENDPOINT: events.Role.ENDPOINT,
}


class PlatformCalls:
    """Carries out platform effects and feeds their results as events.

    ``unshared_log`` is used for reads whose result may not come from another
    process. ``reads`` has the stream and offset of each read that is under
    way.
    """

    def __init__(
        self,
        log: Log,
        instances: InstanceList,
        feed: collections.abc.Callable[[events.Event], None],
        time: clock.Clock,
        tasks: _tasks.Tasks,
        unshared_log: Log | None = None,
    ):
        self.feed = feed
        self.time = time
        self.tasks = tasks
        self.log = log
        self.unshared_log = unshared_log or log
        self.instances = instances
        self.reads: set[tuple[str, int]] = set()

    def handlers(self) -> dict:
        """Return the handler of each class of effect."""
        return {
            effects.ReadLog: self.read_log,
            effects.CheckLog: self.check_log,
            effects.ReadNewest: self.read_newest,
            effects.Append: self.append,
            effects.ReadInstances: self.read_instances,
        }

    def read_log(self, effect: effects.ReadLog) -> None:
        """Read a stream; feeds LogRead or LogReadFailed.

        A read that is still under way is not begun again: it ends by itself,
        however long its records take to arrive, and the reducer would begin
        a next one after each of the two.
        """
        if (effect.stream, effect.from_offset) not in self.reads:
            self.reads.add((effect.stream, effect.from_offset))
            self.tasks.start(self._read_log(effect))

    def read_newest(self, effect: effects.ReadNewest) -> None:
        """Read the newest records; feeds LogRead or LogReadFailed."""
        self.tasks.start(self._read_newest(effect))

    def check_log(self, effect: effects.CheckLog) -> None:
        """Read a stream from the log itself; feeds LogChecked."""
        self.tasks.start(self._check_log(effect))

    def append(self, effect: effects.Append) -> None:
        """Append a record; feeds Appended or AppendFailed."""
        self.tasks.start(self._append(effect))

    def read_instances(self, _effect: effects.ReadInstances) -> None:
        """Read the instance list; feeds InstancesListed, or nothing."""
        self.tasks.start(self._read_instances())

    async def close(self) -> None:
        """Close the connections."""
        await self.log.close()
        await self.instances.close()

    async def _read_newest(self, effect: effects.ReadNewest) -> None:
        reading = self.log.newest(effect.stream)
        self.feed(await self._read_event(effect.stream, None, reading))

    async def _read_log(self, effect: effects.ReadLog) -> None:
        stream = effect.stream
        reading = self.log.read(
            stream, effect.from_offset, wait_ms=effect.wait_ms
        )
        try:
            event = await self._read_event(stream, effect.from_offset, reading)
        finally:
            self.reads.discard((stream, effect.from_offset))
        self.feed(event)

    async def _read_event(
        self,
        stream: str,
        from_offset: int | None,
        reading: collections.abc.Awaitable[log_service.ReadResult],
    ) -> events.LogRead | events.LogReadFailed:
        """Return the event with the outcome of a read."""
        begun_ms = self.time.now_ms()
        try:
            result = await reading
        except log_service.OffsetGone as gone:
            now_ms = self.time.now_ms()
            return events.LogReadFailed(now_ms, stream, gone.first_offset)
        except outgoing.CallError:
            return events.LogReadFailed(self.time.now_ms(), stream)
        return self._log_read_event(stream, from_offset, result, begun_ms)

    async def _check_log(self, effect: effects.CheckLog) -> None:
        begun_ms = self.time.now_ms()
        read = None
        try:
            result = await self.unshared_log.read(
                effect.stream, effect.from_offset
            )
        except outgoing.CallError as error:
            fields = {'stream': effect.stream, 'reason': str(error)}
            LOG.info('stream can not be checked', extra=fields)
        else:
            read = self._log_read_event(
                effect.stream, effect.from_offset, result, begun_ms
            )
        now_ms = self.time.now_ms()
        self.feed(events.LogChecked(now_ms, effect.stream, read))

    def _log_read_event(
        self,
        stream: str,
        from_offset: int | None,
        result: log_service.ReadResult,
        begun_ms: int,
    ) -> events.LogRead:
        return events.LogRead(
            self.time.now_ms(),
            stream,
            result.records,
            result.first_offset,
            result.next_offset,
            result.era,
            None if result.told else result.begun_ms or begun_ms,
            result.whole,
            from_offset,
        )

    async def _append(self, effect: effects.Append) -> None:
        try:
            offset = await self.log.append(effect.stream, effect.data)
        except (outgoing.CallNotSent, outgoing.CallRefused):
            self._feed_append_failed(effect, events.Certainty.NOT_DONE)
        except outgoing.CallError:
            self._feed_append_failed(effect, events.Certainty.UNKNOWN)
        else:
            now_ms = self.time.now_ms()
            self.feed(
                events.Appended(
                    now_ms, effect.stream, effect.append_id, offset
                )
            )

    def _feed_append_failed(
        self, effect: effects.Append, certainty: events.Certainty
    ) -> None:
        now_ms = self.time.now_ms()
        self.feed(
            events.AppendFailed(
                now_ms, effect.stream, effect.append_id, certainty
            )
        )

    async def _read_instances(self) -> None:
        try:
            instances = await self.instances.list()
        except outgoing.CallError:
            return
        self.feed(events.InstancesListed(self.time.now_ms(), instances))


def log_service_clients(url: str) -> tuple[Log, InstanceList]:
    """Return the clients of this project's log service at a URL."""
    return log_service.LogClient(url), LogServiceInstances(url)


def _instance_from_entry(entry: log_service.Instance) -> events.Instance:
    return events.Instance(
        entry.instance,
        EVENT_ROLES[entry.role],
        entry.service,
        entry.failure_domain,
        entry.region,
        entry.address,
        entry.state is log_service.State.LEAVING,
    )
