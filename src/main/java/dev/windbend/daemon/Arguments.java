package dev.windbend.daemon;

import java.nio.file.Path;
import java.util.Optional;

/**
 * The command line. It is read without a library, which would cost a starting controller processor
 * time.
 *
 * @param config the platform's settings file; there for {@link Action#RUN}
 * @param settings the operators' own settings file; without it the defaults hold
 */
record Arguments(Action action, Optional<Path> config, Optional<Path> settings) {
  /** What {@code --help} prints, and a wrong command line after its message. */
  static final String USAGE =
      """
      Usage: windbend [-hV] [--config=FILE] [--settings=FILE]
      A controller of the windbend cluster scheduler.
            --config=FILE     the platform's settings (TOML)
        -h, --help            Show this help message and exit.
            --settings=FILE   the operators' own settings (INI)
        -V, --version         Print version information and exit.

      The environment variable LOG_LEVEL (error, warn, info, debug) sets how much is logged.
      Exit codes: 2 for a wrong command line or settings, 1 for other failures.
      """;

  private static final String CONFIG = "--config";
  private static final String SETTINGS = "--settings";

  /** What the process is asked to do. */
  enum Action {
    /** Run a controller. */
    RUN,
    /** Print {@link #USAGE}. */
    HELP,
    /** Print the version. */
    VERSION,
    /** Run {@link ClassArchiveTraining}; used by the build only, and not in the usage text. */
    TRAIN_CLASS_ARCHIVE
  }

  /** A wrong command line; the message says what is wrong. */
  static final class InvalidArgumentsException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidArgumentsException(String message) {
      super(message);
    }
  }

  static Arguments parse(String... arguments) throws InvalidArgumentsException {
    return new Parser(arguments).parse();
  }

  /** Reads the arguments from left to right. */
  private static final class Parser {
    private final String[] arguments;
    private int next;
    private Action action = Action.RUN;
    private Path config;
    private Path settings;

    Parser(String... arguments) {
      this.arguments = arguments;
    }

    Arguments parse() throws InvalidArgumentsException {
      while (next < arguments.length) {
        readOption(arguments[next++]);
      }
      if (action == Action.RUN && config == null) {
        throw new InvalidArgumentsException("--config FILE is needed; see --help");
      }
      return new Arguments(action, Optional.ofNullable(config), Optional.ofNullable(settings));
    }

    private void readOption(String argument) throws InvalidArgumentsException {
      int equals = argument.indexOf('=');
      String name = equals < 0 ? argument : argument.substring(0, equals);
      switch (name) {
        case CONFIG -> config = readFile(name, argument, config);
        case SETTINGS -> settings = readFile(name, argument, settings);
        case "-h", "--help" -> action = Action.HELP;
        case "-V", "--version" -> action = action == Action.HELP ? action : Action.VERSION;
        case "--train-class-archive" -> action = Action.TRAIN_CLASS_ARCHIVE;
        default -> throw new InvalidArgumentsException("Unknown option: '" + argument + "'");
      }
    }

    /** The option's value, which follows its name after an equals sign or as the next argument. */
    private Path readFile(String name, String argument, Path previous)
        throws InvalidArgumentsException {
      boolean isNextArgument = argument.equals(name);
      if (isNextArgument && next == arguments.length) {
        throw new InvalidArgumentsException(
            "Missing required parameter for option '" + name + "' (FILE)");
      }
      Path file =
          Path.of(isNextArgument ? arguments[next++] : argument.substring(name.length() + 1));
      if (previous != null) {
        throw new InvalidArgumentsException("option '" + name + "' should be specified only once");
      }
      return file;
    }
  }
}
