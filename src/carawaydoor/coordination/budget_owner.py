"""Handles budget messages as owner of budget shares: grants, settles and moves tokens."""

from __future__ import annotations

import dataclasses

from carawaydoor.coordination import budgets, core_events, core_state, messages, ownership

PULL_INTERVAL_S = 0.25
MAX_GRANT_DELAY_S = 0.5


def reconcile(state: core_state.CoreState, now_s: float) -> core_state.CoreState:
    """Drop the shares that this instance no longer owns and take up those that it owns now."""
    kept = budgets.reconcile(
        state.budgets,
        now_s,
        state.budget_split,
        state.membership.failure_domain,
        lambda resource: core_state.owns(state, now_s, resource),
    )
    return dataclasses.replace(state, budgets=kept)


def deposit(
    state: core_state.CoreState, now_s: float, message: messages.TransferTokens
) -> core_state.CoreState:
    """Add tokens that another owner debited."""
    share = budgets.Share(message.workspace, message.owner)
    funded = budgets.deposit(state.budgets, now_s, share, message.tokens)
    return dataclasses.replace(state, budgets=funded)


def hand_over(state: core_state.CoreState, now_s: float) -> core_state.Step:
    """Send the balances to the next owners; drop the buckets so that nothing is granted twice."""
    effects: list[core_events.Effect] = []
    for share, bucket in state.budgets.bucket_by_share.items():
        receiver = core_state.next_owner(state, now_s, share.resource)
        if receiver is not None and bucket.level >= 1.0:
            transfer = messages.TransferTokens(share.workspace, bucket.level, share.scope)
            effects.append(core_events.Send(receiver, transfer))
    return dataclasses.replace(state, budgets=budgets.EMPTY), effects


def move_surplus(state: core_state.CoreState, now_s: float) -> core_state.Step:
    """Send the surplus of standing shares to the owners of the pooled shares."""
    after, transfers = budgets.withdraw_surplus(state.budgets, now_s)
    effects: list[core_events.Effect] = []
    for transfer in transfers:
        receiver = likely_pooled_owner(state, now_s, transfer.workspace)
        if receiver is not None:
            effects.append(core_events.Send(receiver, transfer))
    return dataclasses.replace(state, budgets=after), effects


def likely_pooled_owner(state: core_state.CoreState, now_s: float, workspace: str) -> str | None:
    """Return the instance that probably owns the pooled share of a workspace, None if unknown."""
    share = budgets.Share(workspace, budgets.POOLED)
    return next(ownership.reachable_candidates(state.membership, now_s, share.resource), None)


def reserve(
    state: core_state.CoreState,
    now_s: float,
    request: messages.ReserveTokens,
    reply_to: int | None,
) -> core_state.Step:
    """Grant tokens of a share, or say why not."""
    scope = budgets.POOLED if request.pooled else state.membership.failure_domain
    share = budgets.Share(request.workspace, scope)
    reason = ownership.reason_not_owner(state.membership, now_s, share.resource)
    if reason is not None:
        return state, core_state.reply_not_owner(state, reason, reply_to)
    if share not in state.budgets.bucket_by_share:
        return state, core_state.reply_not_owner(
            state, messages.NotHomeReason.UNKNOWN_RESOURCE, reply_to
        )
    after, answer = budgets.reserve(
        state.budgets, now_s, share, request, state.membership.incarnation, MAX_GRANT_DELAY_S
    )
    state = dataclasses.replace(state, budgets=after)
    effects = core_state.reply(reply_to, answer)
    if request.pooled and budgets.is_low(state.budgets, share):
        state, pulls = _pull_tokens(state, now_s, request.workspace)
        effects = [*effects, *pulls]
    return state, effects


def _pull_tokens(state: core_state.CoreState, now_s: float, workspace: str) -> core_state.Step:
    """Ask the owners of the standing shares to move their tokens to the pooled share."""
    if now_s - state.pull_sent_s_by_workspace.get(workspace, 0.0) < PULL_INTERVAL_S:
        return state, []
    pulled = {**state.pull_sent_s_by_workspace, workspace: now_s}
    effects: list[core_events.Effect] = []
    for domain in state.budget_split.standing_fraction_by_domain:
        share = budgets.Share(workspace, domain)
        reachable = ownership.reachable_candidates(state.membership, now_s, share.resource)
        owner = next(reachable, None)
        if owner is not None:
            effects.append(core_events.Send(owner, messages.PullTokens(workspace)))
    return dataclasses.replace(state, pull_sent_s_by_workspace=pulled), effects


def drain_standing_share(
    state: core_state.CoreState, now_s: float, message: messages.PullTokens
) -> core_state.Step:
    """Move all tokens of the standing share of this domain to the pooled share.

    They are debited before they are sent, so that a lost message loses tokens rather than
    granting them twice.
    """
    share = budgets.Share(message.workspace, state.membership.failure_domain)
    receiver = likely_pooled_owner(state, now_s, message.workspace)
    if receiver is None or not core_state.owns(state, now_s, share.resource):
        return state, []
    after, tokens = budgets.withdraw_all(state.budgets, now_s, share)
    if tokens < 1.0:
        return state, []
    transfer = messages.TransferTokens(message.workspace, tokens, budgets.POOLED)
    return dataclasses.replace(state, budgets=after), [core_events.Send(receiver, transfer)]


def settle(
    state: core_state.CoreState, now_s: float, message: messages.SettleTokens
) -> core_state.CoreState:
    """Close a grant; grants of earlier incarnations are ignored, since their bucket is gone."""
    if message.incarnation != state.membership.incarnation:
        return state
    scope = budgets.POOLED if message.pooled else state.membership.failure_domain
    share = budgets.Share(message.workspace, scope)
    after = budgets.settle(state.budgets, now_s, share, message.grant_id, message.unused)
    return dataclasses.replace(state, budgets=after)
