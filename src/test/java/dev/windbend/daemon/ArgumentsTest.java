package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parsing of the command line. In the tables below, spaces separate the arguments. */
class ArgumentsTest {

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "--config a.toml,RUN,a.toml,",
    "--config=a.toml,RUN,a.toml,",
    "--settings own.ini --config a.toml,RUN,a.toml,own.ini",
    "--help,HELP,,",
    "-h --config a.toml,HELP,a.toml,",
    "-V,VERSION,,",
    "--help --version,HELP,,",
    "--train-class-archive,TRAIN_CLASS_ARCHIVE,,",
  })
  void parsesOptions(String commandLine, Arguments.Action action, String config, String settings)
      throws Arguments.InvalidArgumentsException {
    Arguments arguments = Arguments.parse(commandLine.split(" "));
    assertThat(arguments.action()).isEqualTo(action);
    assertThat(String.valueOf(arguments.config().orElse(null))).isEqualTo(String.valueOf(config));
    assertThat(String.valueOf(arguments.settings().orElse(null)))
        .isEqualTo(String.valueOf(settings));
  }

  @ParameterizedTest(name = "{0}: {1}")
  @CsvSource({
    "--settings own.ini,--config FILE is needed",
    "--config,Missing required parameter",
    "--config a.toml --config b.toml,only once",
    "--config a.toml b.toml,Unknown option: 'b.toml'",
    "--quiet --config a.toml,Unknown option: '--quiet'",
  })
  void rejectsInvalidCommandLineWithReason(String commandLine, String message) {
    assertThatThrownBy(() -> Arguments.parse(commandLine.split(" ")))
        .isInstanceOf(Arguments.InvalidArgumentsException.class)
        .hasMessageContaining(message);
  }
}
