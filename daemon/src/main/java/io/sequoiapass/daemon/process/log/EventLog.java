package io.sequoiapass.daemon.process.log;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Arrays;
import java.util.logging.Handler;
import org.jboss.logging.Logger;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Writes numbered log events through JBoss Logging.
 *
 * <pre>{@code
 * EventLog.configure(LogFormat.TEXT);
 * EventLog.log(LogEvent.READY, settings.daemon(), settings.callerPort());
 * }</pre>
 *
 * <p>The event's number is the name of its logger, so that one event can be found, counted or
 * silenced by its number alone. Safe for use by several threads.
 */
public final class EventLog {

  private static final String MANAGER_PROPERTY = "java.util.logging.manager";
  private static final String ROOT_LOGGER = "";

  private EventLog() {}

  /**
   * Configures all log lines of the process to be written to standard error. Must be called before
   * anything is logged: the log manager is selected at the first use of a logger.
   *
   * @param format the format
   */
  public static void configure(LogFormat format) {
    if (System.getProperty(MANAGER_PROPERTY) == null) {
      System.setProperty(MANAGER_PROPERTY, "org.jboss.logmanager.LogManager");
    }
    // Netty would otherwise pick SLF4J, a dependency of the metrics library with no binding.
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    java.util.logging.Logger root = java.util.logging.Logger.getLogger(ROOT_LOGGER);
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    root.setLevel(java.util.logging.Level.INFO);
    root.addHandler(new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, format.formatter()));
  }

  /**
   * Logs one event.
   *
   * @param event the event
   * @param arguments the arguments of its format; an additional trailing {@link Throwable} is
   *     logged as the event's cause
   */
  public static void log(LogEvent event, Object... arguments) {
    Logger logger = Logger.getLogger(event.id());
    int last = arguments.length - 1;
    if (last >= event.parameters() && arguments[last] instanceof Throwable cause) {
      Object[] parameters = Arrays.copyOf(arguments, last);
      logger.logf(event.level(), cause, event.format(), parameters);
    } else {
      logger.logf(event.level(), event.format(), arguments);
    }
  }
}
