package io.sequoiapass.testbed.proxy;

import com.google.gson.annotations.SerializedName;

/** Fault modes with their names on the control port. */
enum ProxyMode {
  @SerializedName("none")
  NONE,
  @SerializedName("cut")
  CUT,
  @SerializedName("delay")
  DELAY,
  @SerializedName("freeze")
  FREEZE,
  @SerializedName("drop_after")
  DROP_AFTER,
  @SerializedName("one_way_cut")
  ONE_WAY_CUT,
  @SerializedName("refuse_new")
  REFUSE_NEW
}
