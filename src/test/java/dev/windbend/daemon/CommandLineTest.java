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

/** Output and exit code of a process that is started from the command line. */
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

  /** Exit code and output of a process. */
  private record ProcessResult(int exitCode, String standardOutput, String standardError) {}

  private static ProcessResult run(Path directory, String... arguments)
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
    // The JVM prints a notice of this variable on standard error, which is compared exactly.
    builder.environment().remove("JAVA_TOOL_OPTIONS");
    Process process = builder.start();
    try {
      assertThat(process.waitFor(60, TimeUnit.SECONDS)).as("ends").isTrue();
    } finally {
      process.destroyForcibly();
    }
    return new ProcessResult(process.exitValue(), Files.readString(out), Files.readString(err));
  }

  @ParameterizedTest
  @CsvSource({"--help", "-h"})
  void printsHelp(String option, @TempDir Path directory) throws IOException, InterruptedException {
    assertThat(run(directory, option)).isEqualTo(new ProcessResult(0, HELP, ""));
  }

  @ParameterizedTest
  @CsvSource({"--version", "-V"})
  void printsVersion(String option, @TempDir Path directory)
      throws IOException, InterruptedException {
    assertThat(run(directory, option))
        .isEqualTo(new ProcessResult(0, "windbend (unpackaged)\n", ""));
  }

  @Test
  void exitsWithCode2OnInvalidCommandLine(@TempDir Path directory)
      throws IOException, InterruptedException {
    assertThat(run(directory, "--quiet"))
        .isEqualTo(new ProcessResult(2, "", "windbend: Unknown option: '--quiet'\n" + HELP));
    assertThat(run(directory))
        .isEqualTo(
            new ProcessResult(2, "", "windbend: --config FILE is needed; see --help\n" + HELP));
  }

  @Test
  void exitsWithCode2OnInvalidSettings(@TempDir Path directory)
      throws IOException, InterruptedException {
    Path platformSettingsFile = directory.resolve("a.toml");
    Files.writeString(
        platformSettingsFile, SettingsKeysTest.PLATFORM_TOML.replace("size = 3", "size = 0"));
    assertThat(run(directory, "--config", platformSettingsFile.toString()))
        .isEqualTo(new ProcessResult(2, "", "windbend: missing or invalid: facts.size\n"));
    Files.writeString(platformSettingsFile, SettingsKeysTest.PLATFORM_TOML);
    Path operatorSettingsFile = directory.resolve("own.ini");
    Files.writeString(operatorSettingsFile, "[zone]\nenabled = yes\n");
    assertThat(
            run(
                directory,
                "--config",
                platformSettingsFile.toString(),
                "--settings",
                operatorSettingsFile.toString()))
        .isEqualTo(
            new ProcessResult(
                2,
                "",
                "windbend: "
                    + operatorSettingsFile
                    + ": [zone] enabled must be true or false: yes\n"));
  }

  @Test
  void exitsWithCode1IfListenAddressIsInUse(@TempDir Path directory)
      throws IOException, InterruptedException {
    try (ServerSocket occupiedPort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Path platformSettingsFile = directory.resolve("a.toml");
      String address =
          occupiedPort.getInetAddress().getHostAddress() + ":" + occupiedPort.getLocalPort();
      Files.writeString(
          platformSettingsFile, SettingsKeysTest.PLATFORM_TOML.replace("10.0.0.1:8081", address));
      ProcessResult result = run(directory, "--config", platformSettingsFile.toString());
      assertThat(result.exitCode()).isEqualTo(1);
      assertThat(result.standardError()).contains("windbend: cannot start: ");
    }
  }
}
