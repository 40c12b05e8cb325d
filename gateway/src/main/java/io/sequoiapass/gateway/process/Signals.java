package io.sequoiapass.gateway.process;

import java.lang.reflect.Proxy;

/**
 * Handles the signal that requests a reload of the settings. Without a handler it would terminate
 * the JVM.
 */
final class Signals {

  private static final String RELOAD = "HUP";

  private Signals() {}

  /**
   * Runs an action on each reload signal. The JVM's signal interface is not part of the standard
   * library, so it is accessed by reflection.
   */
  static void onReload(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              Signals.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  action.run();
                }
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(RELOAD), proxy);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("this JVM does not support signal handlers", e);
    }
  }
}
