package dev.windbend.shard;

import dev.windbend.zone.ZonePolicy;

/**
 * What operators may set of how shards are led.
 *
 * @param cyclePeriodMs longest time between two scheduling cycles
 * @param eventDrivenCycles whether a cycle also follows each change soon
 * @param billingBlockMs the span of time that the cloud bills a machine in
 * @param impliedDeadlineFactor a job without a deadline is due after its estimate times this
 * @param leaseTermMs for how long the state service grants a controller's lease
 * @param deadlinesFromObjectives whether service-level objectives set deadlines too
 * @param idleHoldFraction part of the heartbeat interval for which the answer to a worker without
 *     work is held back, so that new work reaches it sooner
 * @param zones how the loss of a zone is dealt with
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
