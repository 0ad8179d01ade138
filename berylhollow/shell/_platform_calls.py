"""Effects on the platform: read and append to the log, list instances."""

import collections.abc

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow import outgoing
from berylhollow import platform
from berylhollow.shell import _tasks

ROLES = {
    platform.Role.GATEWAY: events.Role.GATEWAY,
    platform.Role.ENDPOINT: events.Role.ENDPOINT,
}


class PlatformCalls:
    """Carry effects out at the platform and feed back what came of them."""

    def __init__(
        self,
        url: str,
        feed: collections.abc.Callable[[events.Event], None],
        time: clock.Clock,
        tasks: _tasks.Tasks,
    ):
        self.feed = feed
        self.time = time
        self.tasks = tasks
        self.log = platform.LogClient(url)
        self.instances = platform.InstanceClient(url)

    def handlers(self) -> dict:
        """Return what carries each class of effect out."""
        return {
            effects.ReadLog: self.read_log,
            effects.Append: self.append,
            effects.ReadInstances: self.read_instances,
        }

    def read_log(self, effect: effects.ReadLog) -> None:
        """Read a stream; feeds LogRead or LogReadFailed."""
        self.tasks.start(self._read_log(effect))

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

    async def _read_log(self, effect: effects.ReadLog) -> None:
        stream = effect.stream
        try:
            result = await self.log.read(
                stream, effect.from_offset, wait_ms=effect.wait_ms
            )
        except platform.OffsetGone as gone:
            now_ms = self.time.now_ms()
            self.feed(events.LogReadFailed(now_ms, stream, gone.first_offset))
            return
        except outgoing.CallError:
            self.feed(events.LogReadFailed(self.time.now_ms(), stream))
            return
        entries = result.records
        self.feed(
            events.LogRead(
                self.time.now_ms(),
                stream,
                entries,
                result.first_offset,
                result.next_offset,
            )
        )

    async def _append(self, effect: effects.Append) -> None:
        try:
            offset = await self.log.append(effect.stream, effect.data)
        except (outgoing.NotDone, outgoing.Refused):
            self._append_failed(effect, events.Certainty.NOT_DONE)
        except outgoing.CallError:
            self._append_failed(effect, events.Certainty.UNKNOWN)
        else:
            now_ms = self.time.now_ms()
            self.feed(
                events.Appended(
                    now_ms, effect.stream, effect.append_id, offset
                )
            )

    def _append_failed(
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
            listed = await self.instances.list()
        except outgoing.CallError:
            return
        instances = tuple(_instance(entry) for entry in listed)
        self.feed(events.InstancesListed(self.time.now_ms(), instances))


def _instance(entry: platform.Instance) -> events.Instance:
    return events.Instance(
        entry.instance,
        ROLES[entry.role],
        entry.service,
        entry.failure_domain,
        entry.region,
        entry.address,
        entry.state is platform.State.LEAVING,
    )
