"""The base of all declared models: strict, frozen, camelCase in files."""

from pydantic import BaseModel, ConfigDict
from pydantic.alias_generators import to_camel


class Spec(BaseModel):
    """A part of a declaration. Unknown fields are errors."""

    model_config = ConfigDict(
        extra="forbid",
        frozen=True,
        alias_generator=to_camel,
        validate_by_name=True,
        validate_by_alias=True,
    )
