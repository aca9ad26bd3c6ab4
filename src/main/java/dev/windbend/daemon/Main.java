package dev.windbend.daemon;

import dev.windbend.shard.Policy;
import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line. */
@Command(
    name = "windbend",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    description = "A controller of the windbend cluster scheduler.",
    footer = {
      "",
      "The environment variable LOG_LEVEL (error, warn, info, debug) sets how much is logged.",
      "Exit codes: 2 for a wrong command line or settings, 1 for other failures."
    })
public final class Main implements Callable<Integer> {
  private static final int BUFFER = 8_192;
  private static final int BUFFERS = 64;

  @Option(names = "--config", paramLabel = "FILE", description = "the platform's settings (TOML)")
  private Path config;

  @Option(
      names = "--settings",
      paramLabel = "FILE",
      description = "the operators' own settings (INI)")
  private Path own;

  @Option(
      names = "--rehearse",
      hidden = true,
      description = "run for a moment against stand-ins, so that a class archive can be made")
  private boolean rehearse;

  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String v = Main.class.getPackage().getImplementationVersion();
      return new String[] {"windbend " + (v == null ? "(unpackaged)" : v)};
    }
  }

  public static void main(String[] args) {
    logging(System.getenv("LOG_LEVEL"));
    int code = new CommandLine(new Main()).execute(args);
    if (code != RUNNING) {
      System.exit(code);
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

  @Override
  public Integer call() throws IOException, InterruptedException {
    final Settings settings;
    final Policy policy;
    try {
      if (rehearse) {
        settings = Rehearsal.settings();
      } else if (config == null) {
        throw new Settings.Invalid("--config FILE is needed; see --help");
      } else {
        settings = Settings.read(config);
      }
      policy = own == null ? Operator.defaults() : Operator.read(own);
    } catch (Settings.Invalid e) {
      System.err.println("windbend: " + e.getMessage());
      return CommandLine.ExitCode.USAGE;
    }
    // All that reads files is done before the worker's threads run, and the rest of the start on
    // the
    // loop's thread while this one waits. Where the platform rewrites the places that make system
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
                System.exit(CommandLine.ExitCode.SOFTWARE);
              }
              started.countDown();
            });
    started.await();
    return RUNNING;
  }

  private void serve(
      Settings settings, Policy policy, XnioWorker worker, DefaultByteBufferPool buffers) {
    XnioLoop loop = new XnioLoop(worker.getIoThread());
    UndertowWeb web = new UndertowWeb(loop, buffers);
    if (rehearse) {
      Rehearsal.run(policy, worker, buffers, loop, web);
      return;
    }
    Node node = new Node(settings, policy, loop, web);
    Server.listen(worker, buffers, settings.peerListen(), node::servePeer);
    Server.listen(worker, buffers, settings.clientListen(), node::serve);
    loop.after(0, node::start);
  }
}
