package io.sequoiapass.daemon.process.command;

/** Lists the presets that operators choose from. */
enum PresetName {
  ORDINARY,
  PEAK,
  MAINTENANCE
}
