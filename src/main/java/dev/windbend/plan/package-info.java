/**
 * Scheduling decisions: {@link dev.windbend.plan.Planner} is a pure function from a {@link
 * dev.windbend.plan.Snapshot} to a {@link dev.windbend.plan.SchedulingDecision}. The package reads
 * no clock, performs no I/O and depends on no other package of windbend.
 */
package dev.windbend.plan;
