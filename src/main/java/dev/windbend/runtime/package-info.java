/**
 * What every other package stands on: the event loop with its clocks and timers, HTTP client and
 * server, JSON, and the index that maps names to dense integers. Depends on no other package.
 */
package dev.windbend.runtime;
