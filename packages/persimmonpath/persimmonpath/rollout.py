"""Commits and applies versions of the configuration on an entry VM."""

from collections.abc import Callable
import uuid

from absl import logging
from returns import result

from persimmonpath import acceptance
from persimmonpath import configuration
from persimmonpath import configversions
from persimmonpath import errors
from persimmonpath import inventory
from persimmonpath import rules


class Rollout:
    """Commits and applies versions and tracks them until acceptance.

    Attributes:
        applied: Configuration that this VM applies.
        store: Versions in the table service.
    """

    def __init__(
        self,
        store: configversions.ConfigVersionStore,
        acceptance_store: acceptance.AcceptanceStore,
        on_applied: Callable[[], None],
    ):
        """Creates a rollout with the empty configuration.

        Args:
            store: Versions in the table service.
            acceptance_store: Determines which versions are applied by every
                entry VM.
            on_applied: Called after each version is applied.
        """
        self.applied = configuration.AppliedConfiguration()
        self.store = store
        self._acceptance_store = acceptance_store
        self._on_applied = on_applied
        self._pending_version = 0

    def commit(
        self,
        based_on: int,
        author: str,
        content_inventory: inventory.Inventory,
        content_rules: rules.Rules,
    ) -> result.Result[acceptance.Status, errors.TableError]:
        """Commits and applies a version.

        Args:
            based_on: Version that the commit is based on; 0 for the first.
            author: Name of the operator.
            content_inventory: The full new inventory.
            content_rules: All new rules.

        Returns:
            `Pending` or `Accepted` if it was committed, a `Conflict`
            if `based_on` is not the current version.
        """
        reply = self.store.commit(
            based_on,
            author,
            uuid.uuid4().hex,
            content_inventory,
            content_rules,
        )
        if isinstance(reply, result.Failure):
            return reply
        config = reply.unwrap()
        if isinstance(config, configversions.Conflict):
            return reply
        self.apply(config)
        self._pending_version = max(self._pending_version, config.version)
        # The commit took effect even if this read fails.
        pending = acceptance.Pending(config.version, (), ())
        status = self._acceptance_store.check(config.version)
        return result.Success(status.value_or(pending))

    def read_status(
        self, version: int
    ) -> result.Result[acceptance.Status, errors.TableError]:
        """Returns whether a committed version is accepted or pending."""
        return self._acceptance_store.check(version)

    def read_newer(self) -> bool:
        """Applies the current version; returns whether the table was read."""
        newer = self.store.read_newer(self.applied.config)
        if isinstance(newer, result.Failure):
            return False
        if newer.unwrap() is not None:
            self.apply(newer.unwrap())
        return True

    def check_pending(self) -> None:
        """Checks whether the version committed here has been accepted.

        Records the acceptance in the table when it is complete.
        """
        if not self._pending_version:
            return
        status = self._acceptance_store.check(self._pending_version)
        if isinstance(status.value_or(None), acceptance.Accepted):
            logging.info(
                "event=config_accepted version=%d", self._pending_version
            )
            self._pending_version = 0

    def apply(self, config: configuration.Configuration) -> None:
        """Applies a version unless an equal or higher one is applied."""
        if self.applied.apply(config):
            logging.info("event=config_applied version=%d", config.version)
            self._on_applied()
