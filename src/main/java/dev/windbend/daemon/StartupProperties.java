package dev.windbend.daemon;

import java.util.Locale;
import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Sets system properties for the log level, and to keep libraries from loading classes that
 * windbend does not use. Loading them would delay the start of a controller, which may have only a
 * small share of a core and is unavailable until it has started.
 */
final class StartupProperties {
  private static final String DEFAULT_LOG_LEVEL = "info";

  private StartupProperties() {}

  /**
   * Sets the log level and format. Must be called before the first logger is created.
   *
   * @param level name of a log level, in upper or lower case; null or blank for the default
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

  /**
   * Disables library features that windbend does not use. Must be called before any class of XNIO,
   * Jackson or the JDK's text formats is used.
   */
  static void disableUnusedLibraryFeatures() {
    // XNIO registers MBeans but also works without JMX. Windbend serves its metrics itself.
    System.setProperty("javax.management.builder.initial", NoMBeanServer.class.getName());
    System.setProperty("jboss.threads.eqe.register-mbean", "false");
    // Jackson initializes date formats, which windbend does not use. By default they are loaded
    // from the larger of the JDK's two sets of locale data.
    System.setProperty("java.locale.providers", "COMPAT");
  }

  /** Rejects the creation of an MBean server, so that its classes are not loaded. */
  public static final class NoMBeanServer extends MBeanServerBuilder {
    @Override
    public MBeanServer newMBeanServer(
        String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
      throw new UnsupportedOperationException("windbend does not use JMX");
    }
  }
}
