"""Applies the records of the configuration."""

from collections.abc import Callable

import attrs

from ..dispatch import ConfigHolder, ServingConfig
from ..platform import CONFIG_KEY, KeyedRecord, MalformedError, decode_config
from ._events import EventLog
from ._topic_follower import TopicHandlers


@attrs.define
class ConfigReader:
    """Offers each configuration to ``config`` and passes on those that are applied.

    ``confirmed_since`` is called as for `TopicHandlers`.
    """

    config: ConfigHolder
    confirmed_since: Callable[[float], None]
    on_apply: Callable[[ServingConfig], None]
    events: EventLog

    def handlers(self) -> TopicHandlers:
        """Returns what a follower of the topic calls."""
        return TopicHandlers(
            self._take,
            confirmed=self.config.confirm,
            confirmed_since=self.confirmed_since,
        )

    def _take(self, record: KeyedRecord) -> None:
        if record.key != CONFIG_KEY or record.value is None:
            return
        try:
            config = decode_config(record.value)
        except MalformedError as exc:
            self.events.warn("config_ignored", offset=record.offset, why=exc.message)
            return
        if not self.config.offer(config):
            return
        self.events.info(
            "config_applied",
            version=config.version,
            offset=record.offset,
            routes=len(config.routes),
            workspaces=len(config.workspaces),
        )
        self.on_apply(config)
