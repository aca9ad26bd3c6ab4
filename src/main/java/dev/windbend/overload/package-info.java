/** Overload protection: limits the users' requests in progress by their response times. */
package dev.windbend.overload;
