/**
 * Overload protection: limits the number of concurrent user requests, based on their response
 * times.
 */
package dev.windbend.overload;
