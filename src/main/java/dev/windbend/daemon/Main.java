package dev.windbend.daemon;

import dev.windbend.runtime.EventLoop;
import dev.windbend.shard.Policy;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalInt;

/** The entry point: evaluates the command line, reads the settings and starts a controller. */
public final class Main {
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  private Main() {}

  /**
   * Starts a controller, or prints the help text or the version and exits.
   *
   * @param args the command line, see {@link Arguments#USAGE}
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    StartupProperties.setLogLevel(System.getenv("LOG_LEVEL"));
    StartupProperties.disableUnusedLibraryFeatures();
    OptionalInt exitCode = run(args);
    if (exitCode.isPresent()) {
      System.exit(exitCode.getAsInt());
    }
  }

  /** Returns the exit code; empty if the process keeps running. */
  private static OptionalInt run(String[] args) throws IOException, InterruptedException {
    Arguments arguments;
    try {
      arguments = Arguments.parse(args);
    } catch (Arguments.InvalidArgumentsException e) {
      printError(e.getMessage());
      System.err.print(Arguments.USAGE);
      return OptionalInt.of(EXIT_USAGE);
    }
    return switch (arguments.action()) {
      case HELP -> {
        System.out.print(Arguments.USAGE);
        yield OptionalInt.of(EXIT_OK);
      }
      case VERSION -> {
        System.out.println("windbend " + version());
        yield OptionalInt.of(EXIT_OK);
      }
      case RUN, TRAIN_CLASS_ARCHIVE -> start(arguments);
    };
  }

  private static String version() {
    String version = Main.class.getPackage().getImplementationVersion();
    return version == null ? "(unpackaged)" : version;
  }

  private static OptionalInt start(Arguments arguments) throws IOException, InterruptedException {
    boolean training = arguments.action() == Arguments.Action.TRAIN_CLASS_ARCHIVE;
    Settings settings;
    Policy policy;
    try {
      settings =
          training
              ? ClassArchiveTraining.settings()
              : SettingsReader.read(arguments.config().orElseThrow());
      policy = policy(arguments.settings(), settings);
    } catch (InvalidSettingsException e) {
      printError(e.getMessage());
      return OptionalInt.of(EXIT_USAGE);
    }
    IoThread.start(
        thread -> {
          if (training) {
            ClassArchiveTraining.run(policy, thread);
          } else {
            startController(settings, policy, thread);
          }
        },
        Main::exitAfterFailure);
    return OptionalInt.empty();
  }

  private static Policy policy(Optional<Path> file, Settings settings)
      throws InvalidSettingsException {
    return file.isPresent()
        ? OperatorSettings.read(file.get(), settings.deployment().zones())
        : OperatorSettings.defaults();
  }

  private static void startController(Settings settings, Policy policy, IoThread thread) {
    EventLoop loop = thread.loop();
    Controller controller = new Controller(settings, policy, loop, thread.httpClient());
    thread.listen(
        settings.peerListenAddress(), controller.peerEndpoints(), controller.httpServerMonitor());
    thread.listen(
        settings.clientListenAddress(),
        controller.clientEndpoints(),
        controller.httpServerMonitor());
    loop.after(0, controller::start);
  }

  private static void exitAfterFailure(RuntimeException failure) {
    printError("cannot start: " + failure);
    System.exit(EXIT_FAILURE);
  }

  private static void printError(String message) {
    System.err.println("windbend: " + message);
  }
}
