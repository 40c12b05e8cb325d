package io.sequoiapass.gateway.process;

import java.lang.reflect.Proxy;

/**
 * Takes the signal that asks a process to read its settings again. Without a handler the virtual
 * machine would end by it.
 */
final class Signals {

  private static final String RELOAD = "HUP";

  private Signals() {}

  /**
   * Runs an action on each such signal. The virtual machine's own interface for signals is not part
   * of the language's library, so it is reached by its name.
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
      throw new IllegalStateException("this virtual machine has no handlers of signals", e);
    }
  }
}
