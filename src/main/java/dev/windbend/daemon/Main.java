package dev.windbend.daemon;

import dev.windbend.part.Policy;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
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
  public Integer call() throws IOException {
    Settings settings;
    Policy policy;
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
    XnioWorker worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_NAME, "windbend")
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .getMap());
    XnioLoop loop = new XnioLoop(worker.getIoThread());
    DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER, BUFFERS, 4);
    UndertowWeb web = new UndertowWeb(loop, buffers);
    if (rehearse) {
      Rehearsal.run(settings, policy, worker, buffers, loop, web);
      return RUNNING;
    }
    Node node = new Node(settings, policy, loop, web);
    Server.listen(worker, buffers, settings.peerListen(), node::servePeer);
    Server.listen(worker, buffers, settings.clientListen(), node::serve);
    loop.after(0, node::start);
    return RUNNING;
  }
}
