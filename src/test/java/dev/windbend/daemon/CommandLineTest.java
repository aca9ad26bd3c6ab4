package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a process started from the command line prints, and how it ends. */
class CommandLineTest {
  private static final String HELP =
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

  /** How a process ended, and what it printed. */
  private record Ended(int code, String out, String err) {}

  private static Ended run(Path directory, String... arguments)
      throws IOException, InterruptedException {
    Path out = directory.resolve("out");
    Path err = directory.resolve("err");
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(
        List.of("-cp", System.getProperty("java.class.path"), "dev.windbend.daemon.Main"));
    command.addAll(List.of(arguments));
    ProcessBuilder builder =
        new ProcessBuilder(command).redirectOutput(out.toFile()).redirectError(err.toFile());
    // The JVM would announce it on standard error, which is compared to the letter.
    builder.environment().remove("JAVA_TOOL_OPTIONS");
    Process process = builder.start();
    try {
      assertThat(process.waitFor(60, TimeUnit.SECONDS)).as("ends").isTrue();
    } finally {
      process.destroyForcibly();
    }
    return new Ended(process.exitValue(), Files.readString(out), Files.readString(err));
  }

  @ParameterizedTest
  @CsvSource({"--help", "-h"})
  void prints(String option, @TempDir Path directory) throws IOException, InterruptedException {
    assertThat(run(directory, option)).isEqualTo(new Ended(0, HELP, ""));
  }

  @ParameterizedTest
  @CsvSource({"--version", "-V"})
  void printsItsVersion(String option, @TempDir Path directory)
      throws IOException, InterruptedException {
    assertThat(run(directory, option)).isEqualTo(new Ended(0, "windbend (unpackaged)\n", ""));
  }

  @Test
  void endsWith2ForAWrongCommandLine(@TempDir Path directory)
      throws IOException, InterruptedException {
    assertThat(run(directory, "--quiet"))
        .isEqualTo(new Ended(2, "", "windbend: Unknown option: '--quiet'\n" + HELP));
    assertThat(run(directory))
        .isEqualTo(new Ended(2, "", "windbend: --config FILE is needed; see --help\n" + HELP));
  }

  @Test
  void endsWith2ForWrongSettings(@TempDir Path directory) throws IOException, InterruptedException {
    Path toml = directory.resolve("a.toml");
    Files.writeString(toml, SettingsKeysTest.PLATFORM.replace("size = 3", "size = 0"));
    assertThat(run(directory, "--config", toml.toString()))
        .isEqualTo(new Ended(2, "", "windbend: missing or invalid: facts.size\n"));
    Files.writeString(toml, SettingsKeysTest.PLATFORM);
    Path ini = directory.resolve("own.ini");
    Files.writeString(ini, "[zone]\nenabled = yes\n");
    assertThat(run(directory, "--config", toml.toString(), "--settings", ini.toString()))
        .isEqualTo(
            new Ended(2, "", "windbend: " + ini + ": [zone] enabled must be true or false: yes\n"));
  }

  @Test
  void endsWith1IfItCanNotListen(@TempDir Path directory) throws IOException, InterruptedException {
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Path toml = directory.resolve("a.toml");
      String address = taken.getInetAddress().getHostAddress() + ":" + taken.getLocalPort();
      Files.writeString(toml, SettingsKeysTest.PLATFORM.replace("10.0.0.1:8081", address));
      Ended ended = run(directory, "--config", toml.toString());
      assertThat(ended.code()).isEqualTo(1);
      assertThat(ended.err()).contains("windbend: cannot start: ");
    }
  }
}
