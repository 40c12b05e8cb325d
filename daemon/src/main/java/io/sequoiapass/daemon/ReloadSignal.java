package io.sequoiapass.daemon;

import java.lang.reflect.Proxy;

/**
 * The signal that requests a reload of the settings, SIGHUP. By default it ends the JVM.
 *
 * <pre>{@code
 * ReloadSignal.ignore();               // first, in main
 * ReloadSignal.onRequest(this::read);  // before the settings are read
 * }</pre>
 *
 * <p>The JVM's signal interface is not part of the standard library, so it is accessed by
 * reflection. Safe for use by several threads.
 */
public final class ReloadSignal {

  private static final String NAME = "HUP";
  private static final String HANDLE = "handle";

  private ReloadSignal() {}

  /** Ignores the signal from now on. Loads no class of this program, as each start waits for it. */
  public static void ignore() {
    try {
      use(handlerType().getField("SIG_IGN").get(null));
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Runs an action on each signal from now on, in a thread of its own.
   *
   * @param action the action
   */
  public static void onRequest(Runnable action) {
    try {
      use(
          Proxy.newProxyInstance(
              ReloadSignal.class.getClassLoader(),
              new Class<?>[] {handlerType()},
              (self, method, arguments) -> {
                if (method.getName().equals(HANDLE)) {
                  action.run();
                }
                return null;
              }));
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }

  private static Class<?> handlerType() throws ClassNotFoundException {
    return Class.forName("sun.misc.SignalHandler");
  }

  private static void use(Object handler) throws ReflectiveOperationException {
    Class<?> signal = Class.forName("sun.misc.Signal");
    signal
        .getMethod(HANDLE, signal, handlerType())
        .invoke(null, signal.getConstructor(String.class).newInstance(NAME), handler);
  }
}
