"""Which of a service's servers a limiter uses: a stretch of their ring, the same few for long.
Pure.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

from loomstand.admission.settings import EngineSettings

# Places at this step apart lie evenly, whichever run of neighbours is looked at. Limiters' places
# go by their names, so those of one zone are neighbours: at steps of 1/n they would all begin in
# one part of the ring.
GOLDEN = 0.6180339887498949


class Entry(Protocol):
    @property
    def zone(self) -> int: ...


class Placed(Protocol):
    rejection_rates: dict[int, float]  # by frontend: what share of the reqs it turns away

    @property
    def endpoint(self) -> Entry: ...

    def is_ejected(self, frontend: int) -> bool: ...


S = TypeVar("S", bound=Placed)


def stretch(ring: Sequence[S], settings: EngineSettings, most: int) -> list[S]:
    """At most `most` servers of the ring, the ones to use first.

    With `settings.local_zone_share` that share of any few is of the own zone, as long as it has
    any: bytes between zones are dear. The rest stays in use a little, as its answers tell when the
    own zone is the busier one.
    """
    if not settings.local_zone_share:
        first = settings.limiter_index * len(ring) // max(1, settings.limiter_count)
        return [ring[n % len(ring)] for n in range(first, first + min(len(ring), most))]
    own = _from(settings.limiter_index, [v for v in ring if v.endpoint.zone == settings.zone])
    far = _from(settings.limiter_index, [v for v in ring if v.endpoint.zone != settings.zone])
    found: list[S] = []
    owns = 0
    while len(found) < most and (own or far):
        if own and (not far or owns <= len(found) * settings.local_zone_share):
            found.append(own.pop())
            owns += 1
        else:
            found.append(far.pop())
    return found


def used(
    ring: Sequence[S], lost: list[S], settings: EngineSettings, reach: int, fronts: int
) -> tuple[list[list[S]], list[list[S]]]:
    """By frontend the servers to use, and those of them that are set aside, beside the `lost` ones.

    Always the same `reach` servers, so that outcomes tell soon; those set aside are out, and others
    of the stretch come in for them, unless it is most: then it is no server's fault.
    """
    found = stretch(ring, settings, 3 * reach)
    near, off = list[list[S]](), list[list[S]]()
    for v in found:
        v.rejection_rates = {
            n: f / 2 for n, f in v.rejection_rates.items()
        }  # one that is passed over shows nothing new
    for front in range(fronts):
        well = [v for v in found if not v.is_ejected(front)][:reach]
        few = len(well) * 3 < reach
        near.append(found[:reach] if few else well)
        off.append(lost + ([] if few else [v for v in found[:reach] if v.is_ejected(front)]))
    return near, off


def _from(me: int, ring: list[S]) -> list[S]:
    """The ring from a limiter's place on, the first last."""
    at = int(len(ring) * (me * GOLDEN % 1.0))
    return [*ring[at:], *ring[:at]][::-1]
