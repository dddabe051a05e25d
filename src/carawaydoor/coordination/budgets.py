"""Token budgets of workspaces, split into shares that have an owner each.

The limit of a workspace is split into a pooled share, which the whole fleet uses, and a standing
share for each failure domain, which the domain can use while it is cut off from the others. The
owner of a share keeps its token bucket.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping

from carawaydoor.coordination import messages, ownership, token_bucket

MAX_OPEN_GRANTS = 4096
SURPLUS_FILL_RATIO = 0.9
LOW_FILL_RATIO = 0.5

POOLED = "pooled"


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetSplit:
    """How the limit of each workspace is split into shares.

    :ivar limit_by_workspace: limit of each workspace over the whole fleet
    :ivar standing_fraction_by_domain: fraction of every limit that is the standing share of each
        failure domain; the rest is pooled
    """

    limit_by_workspace: Mapping[str, token_bucket.Limit]
    standing_fraction_by_domain: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """One share of the budget of a workspace.

    :ivar scope: ``POOLED``, or the failure domain of a standing share
    """

    workspace: str
    scope: str

    @property
    def resource(self) -> ownership.Resource:
        """The resource whose owner keeps the bucket of this share."""
        domain = "" if self.scope == POOLED else self.scope
        return ownership.Resource(f"budget/{self.workspace}/{self.scope}", domain)


@dataclasses.dataclass(frozen=True, slots=True)
class Budgets:
    """The buckets of the shares that an instance owns."""

    bucket_by_share: Mapping[Share, token_bucket.Bucket]


EMPTY = Budgets({})


def share_limit(split: BudgetSplit, share: Share) -> token_bucket.Limit | None:
    """Return the limit of a share, None if it has no tokens or its workspace does not exist."""
    whole = split.limit_by_workspace.get(share.workspace)
    if whole is None:
        return None
    if share.scope == POOLED:
        fraction = 1.0 - sum(split.standing_fraction_by_domain.values())
    else:
        fraction = split.standing_fraction_by_domain.get(share.scope, 0.0)
    if fraction <= 0.0:
        return None
    return token_bucket.Limit(whole.rate_per_s * fraction, whole.burst * fraction)


def candidate_shares(split: BudgetSplit, failure_domain: str) -> list[Share]:
    """Return the shares that an instance of a failure domain may own."""
    scopes = (POOLED, failure_domain)
    shares = [Share(name, scope) for name in split.limit_by_workspace for scope in scopes]
    return [each for each in shares if share_limit(split, each) is not None]


def drop_pooled(state: Budgets) -> Budgets:
    """Drop the buckets of the pooled shares."""
    kept = {key: each for key, each in state.bucket_by_share.items() if key.scope != POOLED}
    return Budgets(kept)


def reconcile(
    state: Budgets,
    now_s: float,
    split: BudgetSplit,
    failure_domain: str,
    owns: Callable[[ownership.Resource], bool],
) -> Budgets:
    """Drop the buckets of shares that this instance does not own, create or resize the others.

    A new bucket starts empty, because an earlier owner may have granted all tokens.
    """
    kept: dict[Share, token_bucket.Bucket] = {}
    for share in candidate_shares(split, failure_domain):
        limit = share_limit(split, share)
        if limit is None or not owns(share.resource):
            continue
        current = state.bucket_by_share.get(share)
        if current is None:
            kept[share] = token_bucket.create(limit, now_s)
        elif current.limit != limit:
            kept[share] = token_bucket.resize(current, now_s, limit)
        else:
            kept[share] = current
    return Budgets(kept)


def reserve(
    state: Budgets,
    now_s: float,
    share: Share,
    request: messages.ReserveTokens,
    incarnation: str,
    max_wait_s: float,
) -> tuple[Budgets, messages.Message]:
    """Debit the tokens of a grant and return the answer."""
    current = state.bucket_by_share[share]
    after, result = token_bucket.reserve(
        current, now_s, request.grant_id, request.tokens, request.returnable, max_wait_s
    )
    after = _forget_oldest_grant(after)
    state = _with_bucket(state, share, after)
    if result.is_ok():
        return state, messages.TokensGranted(result.ok.start_in_s, incarnation)
    shortage = result.error
    retry_after_s = -1.0 if shortage.retry_after_s is None else shortage.retry_after_s
    return state, messages.TokensRefused(retry_after_s)


def settle(state: Budgets, now_s: float, share: Share, grant_id: str, unused: float) -> Budgets:
    """Close a grant; without effect if this instance does not own the share."""
    current = state.bucket_by_share.get(share)
    if current is None:
        return state
    return _with_bucket(state, share, token_bucket.settle(current, now_s, grant_id, unused))


def deposit(state: Budgets, now_s: float, share: Share, tokens: float) -> Budgets:
    """Add tokens of another share; they are lost if this instance does not own ``share``."""
    current = state.bucket_by_share.get(share)
    if current is None:
        return state
    return _with_bucket(state, share, token_bucket.deposit(current, now_s, tokens))


def is_low(state: Budgets, share: Share) -> bool:
    """Return whether an owned share has few tokens left."""
    current = state.bucket_by_share[share]
    return current.level < LOW_FILL_RATIO * current.limit.burst


def withdraw_all(state: Budgets, now_s: float, share: Share) -> tuple[Budgets, float]:
    """Debit all tokens of a share and return their number."""
    current = state.bucket_by_share.get(share)
    if current is None:
        return state, 0.0
    after, withdrawn = token_bucket.withdraw(current, now_s, 0.0)
    return _with_bucket(state, share, after), withdrawn


def withdraw_surplus(state: Budgets, now_s: float) -> tuple[Budgets, list[messages.TransferTokens]]:
    """Debit the tokens of standing shares above ``SURPLUS_FILL_RATIO`` of their burst.

    A bucket that is nearly full would soon waste its refill.

    :return: the state and the transfers to send to the owners of the pooled shares
    """
    transfers: list[messages.TransferTokens] = []
    after = dict(state.bucket_by_share)
    for share, current in state.bucket_by_share.items():
        if share.scope == POOLED:
            continue
        keep = current.limit.burst * SURPLUS_FILL_RATIO
        after[share], withdrawn = token_bucket.withdraw(current, now_s, keep)
        if withdrawn >= 1.0:
            transfers.append(messages.TransferTokens(share.workspace, withdrawn, POOLED))
        else:
            after[share] = current
    return Budgets(after), transfers


def _with_bucket(state: Budgets, share: Share, bucket: token_bucket.Bucket) -> Budgets:
    return Budgets({**state.bucket_by_share, share: bucket})


def _forget_oldest_grant(bucket: token_bucket.Bucket) -> token_bucket.Bucket:
    """Drop the credit of the oldest grant if more than ``MAX_OPEN_GRANTS`` are open."""
    if len(bucket.credit_by_grant) <= MAX_OPEN_GRANTS:
        return bucket
    credit = dict(bucket.credit_by_grant)
    del credit[next(iter(credit))]
    return dataclasses.replace(bucket, credit_by_grant=credit)
