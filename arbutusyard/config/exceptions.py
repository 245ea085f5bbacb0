"""Define the errors of the configuration store."""

from arbutusyard.exceptions import ArbutusyardError


class ConfigError(ArbutusyardError):
    """Represent any error of the configuration store."""


class RevisionConflict(ConfigError):
    """Report that another operator's change was accepted first."""

    def __init__(self, expected: int, winner: int) -> None:
        super().__init__(
            f"configuration is at revision {winner}, the change was made from "
            f"revision {expected}; run 'workload diff' and apply again"
        )
        self.winner = winner


class ConfigUnavailable(ConfigError):
    """Report that the platform did not answer; the configuration was not changed."""


class ChangeUnsettled(ConfigError):
    """Report that it is unknown whether a change was accepted."""

    def __init__(self, change_id: str) -> None:
        super().__init__(
            f"the platform did not confirm change {change_id!r}; run 'workload history'"
            " to see whether it was accepted before applying again"
        )
        self.change_id = change_id
