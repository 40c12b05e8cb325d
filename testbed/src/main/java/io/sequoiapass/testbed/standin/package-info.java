/**
 * Stand-ins for the platform, engines, plain services and the weight store.
 *
 * <p>The state of each is confined to one event loop, so it needs no lock. Each accepts faults on
 * {@code POST /faults} and reports on {@code GET /judge} what it ran; tests compare that with the
 * answers that callers received.
 */
package io.sequoiapass.testbed.standin;
