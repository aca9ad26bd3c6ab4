package dev.windbend.shard;

import dev.windbend.zone.ZonePolicy;

/**
 * Scheduling policy of shard leaders, as set by operators.
 *
 * @param cyclePeriodMs the interval of scheduling cycles that are not event-driven; also the
 *     longest time until the next cycle that the planner assumes, and the interval of the shard
 *     status log
 * @param eventDrivenCycles whether events such as freed capacity trigger scheduling cycles
 * @param billingBlockMs the unit of time by which the cloud bills a machine
 * @param impliedDeadlineFactor a job without a deadline is due after its estimated run time times
 *     this factor
 * @param leaseTermMs the term of a controller's lease in the state service
 * @param deadlinesFromObjectives whether service-level objectives also set deadlines
 * @param idleHoldFraction the fraction of the heartbeat interval for which the response to an idle
 *     worker is held, so that new work reaches the worker sooner
 * @param zones the policy for the loss of a zone
 */
public record Policy(
    long cyclePeriodMs,
    boolean eventDrivenCycles,
    long billingBlockMs,
    double impliedDeadlineFactor,
    long leaseTermMs,
    boolean deadlinesFromObjectives,
    double idleHoldFraction,
    ZonePolicy zones) {}
