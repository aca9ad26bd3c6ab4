package dev.windbend.daemon;

import java.nio.file.Path;
import java.util.Optional;

/**
 * The parsed command line. It is parsed without a library, because loading one would use CPU time
 * at each start of a controller.
 *
 * @param action what the process does
 * @param config the platform's settings file (TOML); present if the action is {@link Action#RUN}
 * @param settings the operators' settings file (INI); if empty, the defaults apply
 */
record Arguments(Action action, Optional<Path> config, Optional<Path> settings) {
  /** Help text, printed by {@code --help} and after the error for an invalid command line. */
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

  /** What the process does. */
  enum Action {
    /** Runs a controller. */
    RUN,
    /** Prints {@link #USAGE}. */
    HELP,
    /** Prints the version. */
    VERSION,
    /** Runs {@link ClassArchiveTraining}. Only the build uses it, so the help text omits it. */
    TRAIN_CLASS_ARCHIVE
  }

  /** Thrown for an invalid command line. The message states the reason for the user. */
  static final class InvalidArgumentsException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidArgumentsException(String message) {
      super(message);
    }
  }

  /**
   * Parses the command line.
   *
   * @throws InvalidArgumentsException if an option is unknown or lacks its value, if a file is
   *     given twice, or if the settings file that {@link Action#RUN} requires is missing
   */
  static Arguments parse(String... arguments) throws InvalidArgumentsException {
    return new Parser(arguments).parse();
  }

  /** Parses the arguments from left to right. */
  private static final class Parser {
    private final String[] arguments;
    private int nextIndex;
    private Action action = Action.RUN;
    private Path config;
    private Path settings;

    Parser(String... arguments) {
      this.arguments = arguments;
    }

    Arguments parse() throws InvalidArgumentsException {
      while (nextIndex < arguments.length) {
        readOption(arguments[nextIndex++]);
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

    /**
     * Returns the file of an option, which follows the option's name after an equals sign or as the
     * next argument.
     *
     * @param previous the file from an earlier occurrence of the option; null if there is none
     */
    private Path readFile(String name, String argument, Path previous)
        throws InvalidArgumentsException {
      boolean isNextArgument = argument.equals(name);
      if (isNextArgument && nextIndex == arguments.length) {
        throw new InvalidArgumentsException(
            "Missing required parameter for option '" + name + "' (FILE)");
      }
      Path file =
          Path.of(isNextArgument ? arguments[nextIndex++] : argument.substring(name.length() + 1));
      if (previous != null) {
        throw new InvalidArgumentsException("option '" + name + "' should be specified only once");
      }
      return file;
    }
  }
}
