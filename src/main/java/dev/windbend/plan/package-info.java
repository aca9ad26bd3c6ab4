/**
 * Decides what a scheduling cycle does: {@link dev.windbend.plan.Planner} is a pure function from a
 * {@link dev.windbend.plan.Snapshot} to a {@link dev.windbend.plan.SchedulingDecision}. It reads no
 * clock, does no I/O and depends on no other package of windbend.
 */
package dev.windbend.plan;
