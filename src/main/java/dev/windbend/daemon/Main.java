package dev.windbend.daemon;

import dev.windbend.runtime.HttpServer;
import dev.windbend.runtime.UndertowHttpClient;
import dev.windbend.runtime.XnioEventLoop;
import dev.windbend.shard.Policy;
import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The command line. */
public final class Main {
  private static final int BUFFER = 8_192;
  private static final int BUFFERS = 64;
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  private final boolean rehearse;

  private Main(boolean rehearse) {
    this.rehearse = rehearse;
  }

  public static void main(String[] args) throws IOException, InterruptedException {
    logging(System.getenv("LOG_LEVEL"));
    StartupProperties.set();
    int code = run(args);
    if (code != RUNNING) {
      System.exit(code);
    }
  }

  private static int run(String[] args) throws IOException, InterruptedException {
    final Arguments arguments;
    try {
      arguments = Arguments.parse(args);
    } catch (Arguments.Invalid e) {
      System.err.println("windbend: " + e.getMessage());
      System.err.print(Arguments.USAGE);
      return EXIT_USAGE;
    }
    switch (arguments.action()) {
      case HELP -> {
        System.out.print(Arguments.USAGE);
        return EXIT_OK;
      }
      case VERSION -> {
        System.out.println("windbend " + version());
        return EXIT_OK;
      }
      default -> {
        return start(arguments);
      }
    }
  }

  private static String version() {
    String version = Main.class.getPackage().getImplementationVersion();
    return version == null ? "(unpackaged)" : version;
  }

  private static int start(Arguments arguments) throws IOException, InterruptedException {
    boolean rehearse = arguments.action() == Arguments.Action.REHEARSE;
    try {
      Settings settings =
          rehearse ? ClassArchiveTraining.settings() : Settings.read(arguments.config());
      Policy policy =
          arguments.settings() == null
              ? OperatorSettings.defaults()
              : OperatorSettings.read(arguments.settings(), settings.facts().zones());
      return new Main(rehearse).listen(settings, policy);
    } catch (Settings.Invalid e) {
      System.err.println("windbend: " + e.getMessage());
      return EXIT_USAGE;
    }
  }

  /** Not an exit code: the loop's thread goes on. */
  private static final int RUNNING = -1;

  private static void logging(String level) {
    String l = level == null || level.isBlank() ? "info" : level.toLowerCase(Locale.ROOT);
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", l);
    System.setProperty("org.slf4j.simpleLogger.log.org.xnio", "error");
    System.setProperty("org.slf4j.simpleLogger.log.io.undertow", "error");
    System.setProperty("org.slf4j.simpleLogger.log.org.jboss", "error");
    System.setProperty("org.slf4j.simpleLogger.log.com.netflix", "error");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
  }

  private int listen(Settings settings, Policy policy) throws IOException, InterruptedException {
    // All that reads files is done before the worker's threads run, and the rest of the start on
    // the loop's thread while this one waits. Where the platform rewrites the places that make
    // system
    // calls often, two threads in the same one (libc's read) at that moment end the process.
    DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER, BUFFERS, 4);
    Undertow.builder();
    CountDownLatch started = new CountDownLatch(1);
    OptionMap options =
        OptionMap.builder()
            .set(Options.WORKER_NAME, "windbend")
            .set(Options.WORKER_IO_THREADS, 1)
            .set(Options.WORKER_TASK_CORE_THREADS, 1)
            .set(Options.WORKER_TASK_MAX_THREADS, 1)
            .getMap();
    XnioWorker worker = Xnio.getInstance().createWorker(options);
    worker
        .getIoThread()
        .execute(
            () -> {
              try {
                serve(settings, policy, worker, buffers);
              } catch (RuntimeException e) {
                System.err.println("windbend: cannot start: " + e);
                System.exit(EXIT_FAILURE);
              }
              started.countDown();
            });
    started.await();
    return RUNNING;
  }

  private void serve(
      Settings settings, Policy policy, XnioWorker worker, DefaultByteBufferPool buffers) {
    XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
    UndertowHttpClient web = new UndertowHttpClient(loop, buffers);
    if (rehearse) {
      ClassArchiveTraining.run(policy, worker, buffers, loop, web);
      return;
    }
    Controller node = new Controller(settings, policy, loop, web);
    HttpServer.listen(worker, buffers, settings.peerListen(), node::servePeer);
    HttpServer.listen(worker, buffers, settings.clientListen(), node::serve);
    loop.after(0, node::start);
  }
}
