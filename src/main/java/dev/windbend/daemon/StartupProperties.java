package dev.windbend.daemon;

import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * System properties that keep libraries from what windbend does not use. A controller that restarts
 * with a small share of a core is away for as long as its start takes, and these took a third of
 * it.
 */
final class StartupProperties {
  private StartupProperties() {}

  /** To be called before any class of XNIO, Jackson or the JDK's formats is used. */
  static void set() {
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
