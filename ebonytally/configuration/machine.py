"""Replicated state machine: configuration and evacuated data centres."""

import attrs

from ebonytally.configuration import model
from ebonytally import wire


@wire.message(601)
@attrs.frozen
class DataCentreSet:
    """Take a data centre out of service, or bring it back.

    :param out: take it out if true, else bring it back
    """

    name: str
    out: bool


@wire.message(602)
@attrs.frozen
class Held:
    """Result of a command.

    :param version: version of the configuration then in force, 0 for none
    :param changed: whether the command changed the state
    """

    version: int
    changed: bool


@attrs.frozen
class State:
    """The whole replicated state.

    :param out: data centres taken out of service, by name
    :param out_revision: number of changes of `out`
    """

    configuration: model.Configuration | None = None
    out: tuple[str, ...] = ()
    out_revision: int = 0

    @property
    def version(self) -> int:
        """Return the configuration version in force, 0 for none."""
        configuration = self.configuration
        return configuration.version if configuration is not None else 0


class Machine:
    """Implements `ports.StateMachine` for configurations.

    A configuration is applied only if its version is the highest so far.
    """

    def __init__(self) -> None:
        """Set up without configuration."""
        self.state = State()

    def apply(self, command: object) -> object:
        """Apply one committed command and return its result.

        :raises TypeError: if the command's type is not supported
        """
        before = self.state
        match command:
            case model.Configuration():
                self._set_configuration(command)
            case DataCentreSet():
                self._set_data_centre(command)
            case _:
                raise TypeError(
                    "expected Configuration or DataCentreSet, "
                    f"got {type(command).__name__}"
                )
        return Held(self.state.version, self.state is not before)

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        return wire.pack(self.state)

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` returned.

        :raises WireError: if the data is not a valid snapshot
        """
        self.state = wire.unpack(data, State)

    def _set_configuration(self, new: model.Configuration) -> None:
        if new.version > self.state.version:
            self.state = attrs.evolve(self.state, configuration=new)

    def _set_data_centre(self, command: DataCentreSet) -> None:
        out = set(self.state.out) - {command.name}
        if command.out:
            out.add(command.name)
        if out != set(self.state.out):
            self.state = attrs.evolve(
                self.state,
                out=tuple(sorted(out)),
                out_revision=self.state.out_revision + 1,
            )
