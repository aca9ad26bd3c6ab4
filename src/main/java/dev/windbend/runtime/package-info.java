/**
 * Infrastructure that all other packages use: the event loop with its clocks and timers, the HTTP
 * client and server, JSON, and the index that maps names to dense integers. This package depends on
 * no other package of windbend.
 */
package dev.windbend.runtime;
