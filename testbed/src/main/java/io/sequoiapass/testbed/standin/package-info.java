/**
 * Stand-ins for the platform, engines, plain services and the weight store.
 *
 * <p>Each keeps its state on one event loop, so it needs no lock. Each takes faults on {@code POST
 * /faults} and tells on {@code GET /judge} what really ran; tests compare that with what callers
 * were told.
 */
package io.sequoiapass.testbed.standin;
