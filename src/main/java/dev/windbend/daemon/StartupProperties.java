package dev.windbend.daemon;

import java.util.Locale;
import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * System properties: the log level, and those that keep libraries from loading what windbend does
 * not use. A controller that restarts with a small share of a core is away for as long as its start
 * takes.
 */
final class StartupProperties {
  private static final String DEFAULT_LOG_LEVEL = "info";

  private StartupProperties() {}

  /**
   * To be called before the first logger is made.
   *
   * @param level one of the logger's levels in any case; null or blank: the default
   */
  static void setLogLevel(String level) {
    boolean isSet = level != null && !level.isBlank();
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.setProperty(
        "org.slf4j.simpleLogger.defaultLogLevel",
        isSet ? level.toLowerCase(Locale.ROOT) : DEFAULT_LOG_LEVEL);
    System.setProperty("org.slf4j.simpleLogger.log.org.xnio", "error");
    System.setProperty("org.slf4j.simpleLogger.log.io.undertow", "error");
    System.setProperty("org.slf4j.simpleLogger.log.org.jboss", "error");
    System.setProperty("org.slf4j.simpleLogger.log.com.netflix", "error");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
  }

  /** To be called before any class of XNIO, Jackson or the JDK's formats is used. */
  static void disableUnusedLibraryFeatures() {
    // XNIO registers its beans with JMX, and works without; metrics are served by windbend itself.
    System.setProperty("javax.management.builder.initial", NoMBeanServer.class.getName());
    System.setProperty("jboss.threads.eqe.register-mbean", "false");
    // Jackson prepares date formats, which windbend does not use, from the larger of two sets of
    // locale data.
    System.setProperty("java.locale.providers", "COMPAT");
  }

  /** Refuses to make an MBean server, so that nothing is loaded for it. */
  public static final class NoMBeanServer extends MBeanServerBuilder {
    @Override
    public MBeanServer newMBeanServer(
        String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
      throw new UnsupportedOperationException("windbend does not use JMX");
    }
  }
}
