package dev.windbend.daemon;

import java.nio.file.Path;

/**
 * The command line. It is read by hand, as a library for that took more than half of the processor
 * time until a controller's first answer, and a restarted controller has little.
 *
 * @param config the platform's settings file; null: not named
 * @param settings the operators' own settings file; null: the defaults
 */
record Arguments(Action action, Path config, Path settings) {
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

  /** What is to be done. */
  enum Action {
    RUN,
    HELP,
    VERSION,
    /** Runs for a moment against stand-ins, so that a class archive can be made. */
    REHEARSE
  }

  /** A wrong command line; the message says what is wrong. */
  static final class Invalid extends Exception {
    private static final long serialVersionUID = 1L;

    Invalid(String message) {
      super(message);
    }
  }

  static Arguments parse(String... arguments) throws Invalid {
    Action action = Action.RUN;
    Path config = null;
    Path settings = null;
    for (int i = 0; i < arguments.length; i++) {
      String argument = arguments[i];
      int equals = argument.indexOf('=');
      String name = equals < 0 ? argument : argument.substring(0, equals);
      switch (name) {
        case CONFIG, SETTINGS -> {
          boolean separate = equals < 0;
          if (separate && i + 1 == arguments.length) {
            throw new Invalid("Missing required parameter for option '" + name + "' (FILE)");
          }
          Path file = Path.of(separate ? arguments[++i] : argument.substring(equals + 1));
          config = name.equals(CONFIG) ? once(name, config, file) : config;
          settings = name.equals(SETTINGS) ? once(name, settings, file) : settings;
        }
        case "-h", "--help" -> action = Action.HELP;
        case "-V", "--version" -> action = action == Action.HELP ? action : Action.VERSION;
        case "--rehearse" -> action = Action.REHEARSE;
        default -> throw new Invalid("Unknown option: '" + argument + "'");
      }
    }
    if (action == Action.RUN && config == null) {
      throw new Invalid("--config FILE is needed; see --help");
    }
    return new Arguments(action, config, settings);
  }

  private static Path once(String name, Path before, Path file) throws Invalid {
    if (before != null) {
      throw new Invalid("option '" + name + "' should be specified only once");
    }
    return file;
  }
}
